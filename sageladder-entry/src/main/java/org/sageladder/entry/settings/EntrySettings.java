package org.sageladder.entry.settings;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;
import org.sageladder.platform.settings.SettingPatterns;
import org.sageladder.platform.settings.SettingsDocument;
import org.sageladder.platform.settings.SettingsException;
import org.sageladder.platform.settings.SettingsSection;

/**
 * Settings of an entry daemon, read once at start.
 *
 * <pre>{@code
 * EntrySettings settings = EntrySettings.read(Path.of("entry.yaml"));
 * }</pre>
 *
 * @param vm name of this entry VM, unique in the platform
 * @param customer the only customer whose requests this entry VM handles
 * @param zone availability zone in which this entry VM runs
 * @param host IP address on which all ports are opened
 * @param seeds inner-protocol addresses of peers to contact first; may be empty
 * @param innerKeys keys of the inner protocol, of which the first one signs; if empty, the keys of
 *     the store are used
 * @param eventCapacity number of recent events kept for the timeline tool
 */
public record EntrySettings(
    String vm,
    String customer,
    String zone,
    String host,
    Ports ports,
    StoreSettings store,
    VmListSettings vmList,
    List<PeerAddress> seeds,
    List<InnerKey> innerKeys,
    Incarnation incarnation,
    Logs logs,
    CallerLimits callerLimits,
    int eventCapacity) {
  private static final int MAX_PORT = 65_535;
  private static final Duration MIN_IDLE_TIMEOUT = Duration.ofMinutes(1);
  private static final Duration MAX_IDLE_TIMEOUT = Duration.ofHours(1);
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofMinutes(2);
  private static final Pattern ANY_TEXT = Pattern.compile(".*", Pattern.DOTALL);
  private static final Pattern INNER_KEY =
      Pattern.compile("[A-Za-z0-9]{1,16}:(?:[A-Za-z0-9+/]{4}){5,}(?:[A-Za-z0-9+/]{2,3}={1,2})?");
  private static final String INNER_KEY_ALLOWED =
      "an id of letters and digits, a colon and at least 16 bytes in base64";

  /** Copies the lists, so that the settings are immutable. */
  public EntrySettings {
    seeds = List.copyOf(seeds);
    innerKeys = List.copyOf(innerKeys);
  }

  /** TCP ports; 0 lets the operating system choose a free one. */
  public record Ports(int callers, int inner, int operators) {}

  /**
   * The platform's key-value service.
   *
   * @param timeout timeout of one call, not counting the wait time that a watch asks for
   */
  public record StoreSettings(URI uri, Duration timeout) {}

  /**
   * The platform's list of live and draining VMs.
   *
   * @param fetchInterval interval between two fetches
   */
  public record VmListSettings(URI uri, Duration fetchInterval) {}

  /** IP address and TCP port of a peer's inner protocol. */
  public record PeerAddress(String host, int port) {
    static PeerAddress parse(String text) {
      int colon = text.lastIndexOf(':');
      String host = text.substring(0, colon).replace("[", "").replace("]", "");
      return new PeerAddress(host, Integer.parseInt(text.substring(colon + 1)));
    }
  }

  /**
   * A key of the inner protocol.
   *
   * @param id letters and digits
   * @param secret at least 16 bytes in base64
   */
  public record InnerKey(String id, String secret) {
    @Override
    public String toString() {
      return id + ":(secret)";
    }
  }

  /** Source of the incarnation, a number that grows with each start of this entry VM. */
  public enum IncarnationSource {
    /** The revision of one write to the store at start; unaffected by clocks that are set back. */
    STORE,
    /** Start time in milliseconds since the Unix epoch with random low bits; needs no store. */
    CLOCK,
    /** The number in the settings, set by whatever creates the VM. */
    FIXED
  }

  /**
   * Source of the incarnation; {@code number} is used only with {@link IncarnationSource#FIXED}.
   */
  public record Incarnation(IncarnationSource source, long number) {}

  /** Format of log lines. */
  public enum LogFormat {
    TEXT,
    JSON
  }

  /** Minimum level that is logged; {@code DEBUG} explains decisions. */
  public enum LogLevel {
    ERROR,
    WARNING,
    INFO,
    DEBUG
  }

  /** Settings of the logs, which go to standard error. */
  public record Logs(LogFormat format, LogLevel level) {}

  /**
   * Limits of the callers' port.
   *
   * @param maxHeadBytes maximum size of a request head
   * @param maxBodyBytes maximum size of a request body
   * @param maxConnections maximum number of open connections
   * @param workerThreads number of threads that serve these connections
   * @param idleTimeout time without traffic after which a connection is closed
   */
  public record CallerLimits(
      int maxHeadBytes,
      long maxBodyBytes,
      int maxConnections,
      int workerThreads,
      Duration idleTimeout) {}

  /**
   * Reads and checks a settings file.
   *
   * @throws SettingsException if the file is invalid, with a one-line message that names the first
   *     error
   */
  public static EntrySettings read(Path file) throws SettingsException {
    return from(SettingsDocument.read(file));
  }

  /** Parses and checks settings given as text; {@code fileName} is used only in error messages. */
  public static EntrySettings parse(String fileName, String yaml) throws SettingsException {
    return from(SettingsDocument.parse(fileName, yaml));
  }

  private static EntrySettings from(SettingsDocument document) throws SettingsException {
    SettingsSection root =
        document.root(
            "vm",
            "customer",
            "zone",
            "host",
            "ports",
            "store",
            "vmList",
            "seeds",
            "innerKeys",
            "incarnation",
            "logs",
            "callerLimits",
            "eventCapacity");
    return new EntrySettings(
        root.text("vm", SettingPatterns.NAME, SettingPatterns.NAME_ALLOWED),
        root.text("customer", SettingPatterns.NAME, SettingPatterns.NAME_ALLOWED),
        root.text("zone", SettingPatterns.NAME, SettingPatterns.NAME_ALLOWED),
        root.text("host", SettingPatterns.IP_ADDRESS, SettingPatterns.IP_ADDRESS_ALLOWED),
        ports(root),
        store(root),
        vmList(root),
        seeds(root),
        innerKeys(root),
        incarnation(root),
        logs(root),
        callerLimits(root),
        root.wholeNumber("eventCapacity", 1, 1 << 22, 16_384));
  }

  /** Rejects two listeners on one port here, as the second one could not be opened. */
  private static Ports ports(SettingsSection root) throws SettingsException {
    SettingsSection section = root.section("ports", "callers", "inner", "operators");
    Ports ports =
        new Ports(
            section.wholeNumber("callers", 0, MAX_PORT),
            section.wholeNumber("inner", 0, MAX_PORT),
            section.wholeNumber("operators", 0, MAX_PORT));
    requireDistinctPorts(section, "inner", ports.inner(), "callers", ports.callers());
    requireDistinctPorts(section, "operators", ports.operators(), "callers", ports.callers());
    requireDistinctPorts(section, "operators", ports.operators(), "inner", ports.inner());
    return ports;
  }

  private static void requireDistinctPorts(
      SettingsSection section, String key, int port, String otherKey, int otherPort)
      throws SettingsException {
    if (port != 0 && port == otherPort) {
      throw section.error(
          key, String.valueOf(port), "a port that ports." + otherKey + " does not use, or 0");
    }
  }

  private static StoreSettings store(SettingsSection root) throws SettingsException {
    SettingsSection section = root.section("store", "uri", "timeout");
    return new StoreSettings(
        URI.create(section.text("uri", SettingPatterns.HTTP_URI, SettingPatterns.HTTP_URI_ALLOWED)),
        section.duration(
            "timeout", Duration.ofMillis(10), Duration.ofSeconds(30), Duration.ofSeconds(1)));
  }

  private static VmListSettings vmList(SettingsSection root) throws SettingsException {
    SettingsSection section = root.section("vmList", "uri", "every");
    return new VmListSettings(
        URI.create(section.text("uri", SettingPatterns.HTTP_URI, SettingPatterns.HTTP_URI_ALLOWED)),
        section.duration(
            "every", Duration.ofMillis(50), Duration.ofMinutes(10), Duration.ofSeconds(1)));
  }

  private static List<PeerAddress> seeds(SettingsSection root) throws SettingsException {
    List<PeerAddress> seeds = new ArrayList<>();
    for (String text :
        root.texts("seeds", SettingPatterns.ADDRESS, SettingPatterns.ADDRESS_ALLOWED)) {
      PeerAddress seed = PeerAddress.parse(text);
      if (seed.port() > MAX_PORT) {
        throw root.error("seeds", text, "ports from 1 to " + MAX_PORT);
      }
      seeds.add(seed);
    }
    return seeds;
  }

  private static List<InnerKey> innerKeys(SettingsSection root) throws SettingsException {
    List<InnerKey> keys = new ArrayList<>();
    for (String text : root.texts("innerKeys", ANY_TEXT, INNER_KEY_ALLOWED)) {
      if (!INNER_KEY.matcher(text).matches()) {
        // A malformed value may contain most of a secret, so it is not quoted.
        throw root.error("innerKeys", "(not shown)", INNER_KEY_ALLOWED);
      }
      int colon = text.indexOf(':');
      keys.add(new InnerKey(text.substring(0, colon), text.substring(colon + 1)));
    }
    return keys;
  }

  private static Incarnation incarnation(SettingsSection root) throws SettingsException {
    SettingsSection section = root.sectionOrEmpty("incarnation", "source", "number");
    IncarnationSource source =
        section.choice("source", IncarnationSource.class, IncarnationSource.CLOCK);
    if (source == IncarnationSource.FIXED) {
      return new Incarnation(source, section.longNumber("number", 1, Long.MAX_VALUE));
    }
    if (section.has("number")) {
      throw section.error(
          "number",
          "a number with source " + source.name().toLowerCase(Locale.ROOT),
          "a number only with source fixed");
    }
    return new Incarnation(source, 0);
  }

  private static Logs logs(SettingsSection root) throws SettingsException {
    SettingsSection section = root.sectionOrEmpty("logs", "format", "level");
    return new Logs(
        section.choice("format", LogFormat.class, LogFormat.TEXT),
        section.choice("level", LogLevel.class, LogLevel.INFO));
  }

  private static CallerLimits callerLimits(SettingsSection root) throws SettingsException {
    SettingsSection section =
        root.sectionOrEmpty(
            "callerLimits", "headBytes", "bodyBytes", "connections", "workers", "idle");
    return new CallerLimits(
        section.wholeNumber("headBytes", 512, 1_048_576, 16_384),
        section.has("bodyBytes") ? section.longNumber("bodyBytes", 0, 1L << 40) : 1L << 30,
        section.wholeNumber("connections", 1, 100_000, 4_000),
        section.wholeNumber("workers", 1, 256, 4),
        section.duration("idle", MIN_IDLE_TIMEOUT, MAX_IDLE_TIMEOUT, DEFAULT_IDLE_TIMEOUT));
  }
}
