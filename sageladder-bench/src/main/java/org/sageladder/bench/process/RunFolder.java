package org.sageladder.bench.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * A temporary directory for the settings and logs of one run, deleted on close unless {@code
 * -Dkeep.logs=true} is set.
 */
public record RunFolder(Path path) implements AutoCloseable {
  /** Creates a directory whose name starts with {@code prefix}. */
  public static RunFolder create(String prefix) throws IOException {
    return new RunFolder(Files.createTempDirectory(prefix));
  }

  @Override
  public void close() {
    if (Boolean.getBoolean("keep.logs")) {
      System.out.println("logs are in " + path);
      return;
    }
    try (Stream<Path> files = Files.walk(path)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    } catch (IOException e) {
      System.err.println("could not delete " + path + ": " + e.getMessage());
    }
  }
}
