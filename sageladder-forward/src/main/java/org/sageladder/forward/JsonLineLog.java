package org.sageladder.forward;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.time.TimeSource;

/**
 * Structured log lines on standard output: one JSON object each, bounded and never blocking.
 *
 * <p>Example: {@code {"at":1764712345123,"vm":"e-1","kind":"ANSWERED","request":"9c41",...}}.
 *
 * <p>Lines wait in a bounded queue for a thread of their own, so that a reader of standard output
 * that has stopped cannot hold up requests. Lines that find the queue full are counted, and the
 * count is logged once there is room.
 */
public final class JsonLineLog implements EventSink, AutoCloseable {
  /** About ten seconds of a VM's requests; 200 bytes each, so under a megabyte. */
  private static final int MAX_QUEUED_LINES = 4_096;

  /** Each wake-up costs processor time; a fifth of a second is soon enough to read along. */
  private static final long WRITE_INTERVAL_MILLIS = 200;

  /**
   * Characters written at once: a pipe takes 4,096 bytes whole or not at all, and a reader that
   * takes less of a larger piece leaves lines cut off in their middle.
   */
  private static final int MAX_WRITE_CHARS = 4_000;

  private final String vm;
  private final TimeSource time;
  private final OutputStream out;
  private final ArrayBlockingQueue<String> queuedLines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong droppedLineCount = new AtomicLong();
  private volatile boolean isOpen = true;
  private final Thread writerThread;

  private JsonLineLog(String vm, TimeSource time, OutputStream out) {
    this.vm = vm;
    this.time = time;
    this.out = out;
    this.writerThread = new Thread(this::runWriter, "log");
    writerThread.setDaemon(true);
  }

  /** A log of the VM of that name on standard output. */
  public static JsonLineLog standardOutput(String vm, TimeSource time) {
    return to(new FileOutputStream(FileDescriptor.out), vm, time);
  }

  /** A log that writes to {@code out}. */
  public static JsonLineLog to(OutputStream out, String vm, TimeSource time) {
    JsonLineLog log = new JsonLineLog(vm, time, out);
    log.writerThread.start();
    return log;
  }

  @Override
  public void record(
      EventKind kind,
      String request,
      String contract,
      String subject,
      long revision,
      String detail) {
    StringBuilder line = new StringBuilder(160);
    line.append("{\"at\":").append(time.wallMillis());
    appendField(line, "vm", vm);
    appendField(line, "kind", kind.name());
    appendField(line, "request", request);
    appendField(line, "contract", contract);
    appendField(line, "subject", subject);
    if (revision != 0) {
      line.append(",\"revision\":").append(revision);
    }
    appendField(line, "detail", detail);
    line.append("}\n");
    if (!queuedLines.offer(line.toString())) {
      droppedLineCount.incrementAndGet();
    }
  }

  private static void appendField(StringBuilder line, String name, String value) {
    if (value.isEmpty()) {
      return;
    }
    line.append(",\"").append(name).append("\":\"");
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      if (c == '"' || c == '\\') {
        line.append('\\').append(c);
      } else if (c < ' ') {
        line.append(String.format("\\u%04x", (int) c));
      } else {
        line.append(c);
      }
    }
    line.append('"');
  }

  /** Lines that were left out because too many waited, since the start. */
  public long droppedLineCount() {
    return droppedLineCount.get();
  }

  private void runWriter() {
    long told = 0;
    try {
      while (isOpen || !queuedLines.isEmpty()) {
        writeQueuedLines();
        if (droppedLineCount.get() > told) {
          told = droppedLineCount.get();
          out.write(
              ("{\"vm\":\"" + vm + "\",\"leftOut\":" + told + "}\n")
                  .getBytes(StandardCharsets.UTF_8));
        }
        if (isOpen) {
          Thread.sleep(WRITE_INTERVAL_MILLIS);
        }
      }
    } catch (IOException e) {
      // Nobody reads the log any more, and there is no other place to say so; the lines that follow
      // are counted as left out, which the metrics show.
      isOpen = false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeQueuedLines() throws IOException {
    StringBuilder lines = new StringBuilder();
    String line = queuedLines.poll();
    while (line != null) {
      if (lines.length() + line.length() > MAX_WRITE_CHARS) {
        writeAndClear(lines);
      }
      lines.append(line);
      line = queuedLines.poll();
    }
    writeAndClear(lines);
  }

  private void writeAndClear(StringBuilder lines) throws IOException {
    if (lines.length() > 0) {
      out.write(lines.toString().getBytes(StandardCharsets.UTF_8));
      lines.setLength(0);
    }
  }

  /** Writes what waits and ends; leaves it where the reader of standard output has stopped. */
  @Override
  public void close() {
    isOpen = false;
    writerThread.interrupt();
    try {
      writerThread.join(WRITE_INTERVAL_MILLIS);
      if (!writerThread.isAlive()) {
        writeQueuedLines();
      }
    } catch (IOException ignored) {
      // Standard output is closed; there is nowhere to write the rest.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
