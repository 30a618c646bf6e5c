package org.sageladder.bench.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A class data sharing (CDS) archive of the entry daemon. It about halves the start-up time of each
 * process and shares the memory of the classes between processes.
 */
public final class ClassArchive {
  private static final long MAX_STOP_SECONDS = 30;
  private static final List<String> QUIET_OPTIONS =
      List.of("-Xlog:cds=off", "-Xlog:cds+dynamic=off");

  private ClassArchive() {}

  /**
   * Adds this build's archive to the options {@code probe}; a missing or outdated archive is
   * created by running a process with {@code probe} once. Returns {@code probe} unchanged if no
   * archive can be created, for instance because the classes are not in jars.
   */
  public static EntryOptions withArchive(EntryOptions probe)
      throws IOException, InterruptedException {
    Path jar = Path.of(EntryProcess.classPath().split(File.pathSeparator)[0]);
    Path jars = jar.toAbsolutePath().getParent();
    if (jars == null || jars.getParent() == null || !jar.toString().endsWith(".jar")) {
      return probe;
    }
    Path archive = jars.resolveSibling("entry-classes.jsa");
    if (!Files.exists(archive) || !isNewerThanJars(archive, jars)) {
      Files.deleteIfExists(archive);
      createArchive(archive, probe);
    }
    return Files.exists(archive)
        ? probe.jvmOptions(QUIET_OPTIONS).jvmOptions(List.of("-XX:SharedArchiveFile=" + archive))
        : probe;
  }

  private static void createArchive(Path archive, EntryOptions probe)
      throws IOException, InterruptedException {
    EntryOptions options =
        probe.jvmOptions(QUIET_OPTIONS).jvmOptions(List.of("-XX:ArchiveClassesAtExit=" + archive));
    try (RunFolder folder = RunFolder.create("sageladder-archive");
        EntryProcess process = EntryProcess.start(options, folder.path())) {
      process.terminate();
      process.awaitEnd(MAX_STOP_SECONDS);
    }
  }

  private static boolean isNewerThanJars(Path archive, Path jars) throws IOException {
    try (var files = Files.list(jars)) {
      for (Path jar : (Iterable<Path>) files::iterator) {
        if (Files.getLastModifiedTime(jar).compareTo(Files.getLastModifiedTime(archive)) > 0) {
          return false;
        }
      }
    }
    return true;
  }
}
