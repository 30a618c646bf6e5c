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
 * Writes structured log lines to standard output: one JSON object per line, bounded and
 * non-blocking.
 *
 * <p>Example: {@code {"at":1764712345123,"vm":"e-1","kind":"ANSWERED","request":"9c41",...}}.
 *
 * <p>Lines are queued for a separate thread, so that a stalled reader of standard output cannot
 * delay requests. If the bounded queue is full, in lines or in characters, lines are dropped and
 * counted, and the count is logged once there is room.
 */
public final class JsonLineLog implements EventSink, AutoCloseable {
  /** Holds about ten seconds of a VM's requests; at 200 bytes per line, less than a megabyte. */
  private static final int MAX_QUEUED_LINES = 4_096;

  /** A line quotes the id of a request, which may be as long as a head. */
  private static final int MAX_QUEUED_CHARS = 1 << 20;

  /** Each wake-up costs CPU time; a delay of 200 ms is short enough to follow the log. */
  private static final long WRITE_INTERVAL_MILLIS = 200;

  /**
   * Maximum number of characters per write. Writes to a pipe are atomic up to 4,096 bytes; a reader
   * that takes part of a larger write leaves truncated lines.
   */
  private static final int MAX_WRITE_CHARS = 4_000;

  private final String vm;
  private final TimeSource time;
  private final OutputStream out;
  private final ArrayBlockingQueue<String> queuedLines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong queuedCharCount = new AtomicLong();
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

  /** Creates a log on standard output for the VM of that name. */
  public static JsonLineLog standardOutput(String vm, TimeSource time) {
    return to(new FileOutputStream(FileDescriptor.out), vm, time);
  }

  /** Creates a log that writes to {@code out}. */
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
    enqueue(line.toString());
  }

  private void enqueue(String line) {
    if (queuedCharCount.addAndGet(line.length()) > MAX_QUEUED_CHARS || !queuedLines.offer(line)) {
      queuedCharCount.addAndGet(-line.length());
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

  /** Number of lines dropped since the start because the queue was full. */
  public long droppedLineCount() {
    return droppedLineCount.get();
  }

  private void runWriter() {
    long reportedCount = 0;
    try {
      while (isOpen || !queuedLines.isEmpty()) {
        writeQueuedLines();
        if (droppedLineCount.get() > reportedCount) {
          reportedCount = droppedLineCount.get();
          out.write(
              ("{\"vm\":\"" + vm + "\",\"leftOut\":" + reportedCount + "}\n")
                  .getBytes(StandardCharsets.UTF_8));
        }
        awaitNextWrite();
      }
    } catch (IOException e) {
      // Standard output is closed, and there is nowhere else to report it. Further lines are
      // counted as dropped, which the metrics show.
      isOpen = false;
    }
  }

  /** Waits until lines are due to be written, or the log is closed. */
  private void awaitNextWrite() {
    if (!isOpen) {
      return;
    }
    try {
      Thread.sleep(WRITE_INTERVAL_MILLIS);
    } catch (InterruptedException e) {
      // Interrupted by close(); the remaining lines are written without a wait.
    }
  }

  private void writeQueuedLines() throws IOException {
    StringBuilder lines = new StringBuilder();
    String line = queuedLines.poll();
    while (line != null) {
      queuedCharCount.addAndGet(-line.length());
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

  /** Writes the queued lines and ends the thread; drops them if standard output is blocked. */
  @Override
  public void close() {
    close(WRITE_INTERVAL_MILLIS);
  }

  /** Closes as {@link #close()} does, within {@code maxMillis}. */
  public void close(long maxMillis) {
    isOpen = false;
    writerThread.interrupt();
    try {
      writerThread.join(Math.max(1, maxMillis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
