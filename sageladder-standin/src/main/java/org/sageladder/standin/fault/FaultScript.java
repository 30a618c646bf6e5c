package org.sageladder.standin.fault;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Faults that come and go at stated times after the start.
 *
 * <pre>{@code
 * [
 *   {"atMillis": 2000, "faults": {"down": true}},
 *   {"atMillis": 5000, "faults": {"slowMillis": 40}},
 *   {"atMillis": 9000, "faults": {}}
 * ]
 * }</pre>
 *
 * <p>Each step replaces all faults of the one before.
 *
 * @param steps in the order of their times
 */
public record FaultScript<T>(List<Step<T>> steps) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Copies the list, so that the script cannot change. */
  public FaultScript {
    steps = List.copyOf(steps);
  }

  /** Faults in force from {@code atMillis} after the start on. */
  public record Step<T>(long atMillis, T faults) {}

  /** Reads a script file; errors name the file and the step. */
  public static <T> FaultScript<T> read(Path file, T healthy, Class<T> type) throws IOException {
    return parse(file.toString(), Files.readString(file), healthy, type);
  }

  /** Reads a script given as text; {@code name} is only used in errors. */
  public static <T> FaultScript<T> parse(String name, String text, T healthy, Class<T> type)
      throws IOException {
    JsonNode root = JSON.readTree(text);
    if (!root.isArray()) {
      throw new IOException(name + ": expected a list of {\"atMillis\": N, \"faults\": {...}}");
    }
    List<Step<T>> steps = new ArrayList<>();
    long before = -1;
    for (JsonNode step : root) {
      JsonNode at = step.path("atMillis");
      if (!at.canConvertToLong() || !at.isIntegralNumber() || at.asLong() <= before) {
        throw new IOException(
            name + ": step " + steps.size() + ": atMillis " + at + " must grow from 0 on");
      }
      before = at.asLong();
      try {
        steps.add(new Step<>(before, FaultJson.read(step.path("faults"), healthy, type)));
      } catch (IOException e) {
        throw new IOException(name + ": step " + steps.size() + ": " + e.getMessage(), e);
      }
    }
    return new FaultScript<>(steps);
  }

  /** Applies each step at its time from now on, until closed. */
  public Playback play(Consumer<T> apply) {
    ScheduledExecutorService timer =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "fault-script");
              thread.setDaemon(true);
              return thread;
            });
    for (Step<T> step : steps) {
      ScheduledFuture<?> unused =
          timer.schedule(() -> apply.accept(step.faults()), step.atMillis(), TimeUnit.MILLISECONDS);
    }
    return timer::shutdownNow;
  }

  /** A script under way. */
  @FunctionalInterface
  public interface Playback extends AutoCloseable {
    /** Applies no further step. */
    @Override
    void close();
  }
}
