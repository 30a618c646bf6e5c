package org.sageladder.entry.log;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;
import org.sageladder.entry.settings.EntrySettings;

/** Configures the log levels and the format: text or one JSON object per line. */
public final class Logs {
  private static final JsonMapper JSON = new JsonMapper();

  private Logs() {}

  /** Logs to standard error from now on, with the level and format of {@code settings}. */
  public static void configure(EntrySettings.Logs settings, String vm) {
    LogManager.getLogManager().reset();
    Logger root = Logger.getLogger("");
    root.setLevel(Level.WARNING);
    Logger.getLogger("org.sageladder").setLevel(level(settings.level()));
    Handler handler = new FlushingHandler(formatter(settings.format(), vm));
    handler.setLevel(Level.ALL);
    root.addHandler(handler);
  }

  private static Level level(EntrySettings.LogLevel level) {
    return switch (level) {
      case ERROR -> Level.SEVERE;
      case WARNING -> Level.WARNING;
      case INFO -> Level.INFO;
      case DEBUG -> Level.FINE;
    };
  }

  private static Formatter formatter(EntrySettings.LogFormat format, String vm) {
    return new Formatter() {
      @Override
      public String format(LogRecord record) {
        return format == EntrySettings.LogFormat.JSON ? json(record, vm) : text(record, vm);
      }

      private String text(LogRecord record, String name) {
        String trace = record.getThrown() == null ? "" : "\n" + trace(record.getThrown());
        return record.getInstant()
            + " "
            + record.getLevel()
            + " "
            + name
            + " "
            + formatMessage(record)
            + trace
            + "\n";
      }

      private String json(LogRecord record, String name) {
        ObjectNode json = JSON.createObjectNode();
        Instant at = record.getInstant();
        json.put("time", at.toString());
        json.put("level", record.getLevel().getName());
        json.put("vm", name);
        json.put("logger", record.getLoggerName());
        json.put("message", formatMessage(record));
        if (record.getThrown() != null) {
          json.put("error", trace(record.getThrown()));
        }
        return json + "\n";
      }
    };
  }

  private static String trace(Throwable thrown) {
    StringWriter text = new StringWriter();
    thrown.printStackTrace(new PrintWriter(text));
    return text.toString().stripTrailing();
  }

  /** Flushes after each line, so that a crashing process does not lose its last lines. */
  private static final class FlushingHandler extends StreamHandler {
    FlushingHandler(Formatter formatter) {
      super(System.err, formatter);
    }

    @Override
    public synchronized void publish(LogRecord record) {
      super.publish(record);
      flush();
    }
  }
}
