import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, in milliseconds since the start of the script. */
final class Record {
  /** One run of a request at a backend. */
  record Run(long atMillis, String request, String service, String backend, String tenant) {}

  private final long startNanos = System.nanoTime();
  private final List<String> lines = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();

  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String text) {
    lines.add(String.format("%7d %s", now(), text));
  }

  /** Notes a step on the console too. */
  void step(String text) {
    line("STEP " + text);
    System.out.println(now() + " ms: " + text);
  }

  synchronized void ran(
      String request, String service, String backend, String tenant, String what, int bodyBytes) {
    runs.add(new Run(now(), request, service, backend, tenant));
    lines.add(
        String.format(
            "%7d RUN %s at %s of %s, tenant %s, %s, %d bytes",
            now(), request, backend, service, tenant, what, bodyBytes));
  }

  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  synchronized void write(Path file) throws IOException {
    Files.write(file, lines);
  }
}
