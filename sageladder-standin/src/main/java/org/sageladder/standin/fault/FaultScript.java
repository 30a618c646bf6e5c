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
 * A schedule of faults, each set at a time after the start.
 *
 * <pre>{@code
 * [
 *   {"atMillis": 2000, "faults": {"down": true}},
 *   {"atMillis": 5000, "faults": {"slowMillis": 40}},
 *   {"atMillis": 9000, "faults": {}}
 * ]
 * }</pre>
 *
 * <p>Each step replaces all faults of the previous one.
 *
 * @param steps steps in increasing order of time
 */
public record FaultScript<T>(List<Step<T>> steps) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Copies the list, which makes the script immutable. */
  public FaultScript {
    steps = List.copyOf(steps);
  }

  /** Faults that apply from {@code atMillis} after the start. */
  public record Step<T>(long atMillis, T faults) {}

  /** Reads a script file; error messages name the file and the step. */
  public static <T> FaultScript<T> read(Path file, T healthy, Class<T> type) throws IOException {
    return parse(file.toString(), Files.readString(file), healthy, type);
  }

  /** Parses a script; {@code name} is only used in error messages. */
  public static <T> FaultScript<T> parse(String name, String text, T healthy, Class<T> type)
      throws IOException {
    JsonNode root = JSON.readTree(text);
    if (!root.isArray()) {
      throw new IOException(name + ": expected a list of {\"atMillis\": N, \"faults\": {...}}");
    }
    List<Step<T>> steps = new ArrayList<>();
    long previousMillis = -1;
    for (JsonNode step : root) {
      JsonNode atMillis = step.path("atMillis");
      if (!atMillis.canConvertToLong()
          || !atMillis.isIntegralNumber()
          || atMillis.asLong() <= previousMillis) {
        throw new IOException(
            name
                + ": step "
                + steps.size()
                + ": atMillis "
                + atMillis
                + ": expected a whole number, at least 0 and above the previous step's");
      }
      previousMillis = atMillis.asLong();
      try {
        steps.add(new Step<>(previousMillis, FaultJson.read(step.path("faults"), healthy, type)));
      } catch (IOException e) {
        throw new IOException(name + ": step " + steps.size() + ": " + e.getMessage(), e);
      }
    }
    return new FaultScript<>(steps);
  }

  /** Starts to apply each step at its time from now, until the playback is closed. */
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

  /** A script that is being played. */
  @FunctionalInterface
  public interface Playback extends AutoCloseable {
    /** Stops the playback; no further step is applied. */
    @Override
    void close();
  }
}
