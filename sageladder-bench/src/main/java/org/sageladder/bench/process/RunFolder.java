package org.sageladder.bench.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * A temporary folder for one run's settings and logs, deleted when closed; {@code -Dkeep.logs=true}
 * keeps it.
 */
public record RunFolder(Path path) implements AutoCloseable {
  /** A new folder whose name begins with {@code prefix}. */
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
