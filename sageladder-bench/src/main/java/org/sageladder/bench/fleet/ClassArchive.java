package org.sageladder.bench.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * An archive of the entry daemon's loaded classes, which about halves the start of each process and
 * shares the memory of the classes between them.
 */
final class ClassArchive {
  private static final long START_SECONDS = 30;

  private ClassArchive() {}

  /** The archive for this build, made by running a daemon once; empty where none can be made. */
  static Optional<Path> ensure(Path settings) throws IOException, InterruptedException {
    String classPath = System.getProperty("java.class.path");
    Path jar = Path.of(classPath.split(java.io.File.pathSeparator)[0]);
    Path folder = jar.toAbsolutePath().getParent();
    if (folder == null || folder.getParent() == null || !jar.toString().endsWith(".jar")) {
      return Optional.empty();
    }
    Path archive = folder.resolveSibling("entry-classes.jsa");
    if (Files.exists(archive) && isNewer(archive, folder)) {
      return Optional.of(archive);
    }
    Files.deleteIfExists(archive);
    Process process =
        new ProcessBuilder(
                java(),
                "-XX:+UseSerialGC",
                "-XX:ArchiveClassesAtExit=" + archive,
                "-Xlog:cds=off",
                "-Xlog:cds+dynamic=off",
                "-cp",
                classPath,
                "org.sageladder.entry.EntryMain",
                "--settings",
                settings.toString())
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    process.getInputStream().read();
    process.destroy();
    if (!process.waitFor(START_SECONDS, TimeUnit.SECONDS)) {
      process.destroyForcibly();
    }
    return Files.exists(archive) ? Optional.of(archive) : Optional.empty();
  }

  static String java() {
    return Path.of(System.getProperty("java.home"), "bin", "java").toString();
  }

  private static boolean isNewer(Path archive, Path jars) throws IOException {
    try (var files = Files.list(jars)) {
      for (Path jar : (Iterable<Path>) files::iterator) {
        if (Files.getLastModifiedTime(jar).compareTo(Files.getLastModifiedTime(archive)) > 0) {
          return false;
        }
      }
    }
    return true;
  }

  /** Options that make a process use {@code archive}. */
  static List<String> options(Optional<Path> archive) {
    return archive
        .map(
            path ->
                List.of("-XX:SharedArchiveFile=" + path, "-Xlog:cds=off", "-Xlog:cds+dynamic=off"))
        .orElse(List.of());
  }
}
