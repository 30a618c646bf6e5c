package org.sageladder.scenario.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.sageladder.adapter.PlatformMain;

/** Programs of entry VMs for tests. */
final class EntryVmPrograms {
  private static final int DEPLOYED_HEAP_MEGABYTES = 64;

  private EntryVmPrograms() {}

  /** An entry VM with the classes of this process. */
  static EntryVmProcess.Program ofThisBuild() {
    return ofThisBuild(DEPLOYED_HEAP_MEGABYTES);
  }

  /** The same with another maximum heap. */
  static EntryVmProcess.Program ofThisBuild(int heapMegabytes) {
    List<String> command =
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx" + heapMegabytes + "m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Dio.netty.noUnsafe=true",
            "-Dio.netty.allocator.type=unpooled",
            "-cp",
            System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
            PlatformMain.class.getName());
    return new EntryVmProcess.Program(command, Path.of("").toAbsolutePath());
  }

  /** The same program with a limit on its open descriptors. */
  static EntryVmProcess.Program limited(EntryVmProcess.Program program, int maxDescriptors) {
    List<String> command =
        new ArrayList<>(List.of("sh", "-c", "ulimit -n " + maxDescriptors + "; exec \"$@\"", "sh"));
    command.addAll(program.command());
    return new EntryVmProcess.Program(command, program.checkout());
  }
}
