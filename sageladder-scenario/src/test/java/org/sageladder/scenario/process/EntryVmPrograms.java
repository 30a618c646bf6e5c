package org.sageladder.scenario.process;

import java.nio.file.Path;
import java.util.List;
import org.sageladder.adapter.PlatformMain;

/** Programs of entry VMs for tests. */
final class EntryVmPrograms {
  private EntryVmPrograms() {}

  /** An entry VM with the classes of this process. */
  static EntryVmProcess.Program ofThisBuild() {
    List<String> command =
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m",
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
}
