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
 * Settings of one entry daemon, read once at start.
 *
 * <pre>{@code
 * EntrySettings settings = EntrySettings.read(Path.of("entry.yaml"));
 * }</pre>
 *
 * @param vm name of this entry VM, unique in the platform
 * @param customer the one customer whose requests this entry VM carries
 * @param zone availability zone that this entry VM runs in
 * @param host IP number that all ports are opened on
 * @param seeds inner addresses of peers to ask first; may be empty
 * @param innerKeys keys of the inner protocol, the first one in use; may be empty, then the store's
 * @param eventCapacity events kept for the time line
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

  /** Copies the list, so that the settings cannot change. */
  public EntrySettings {
    seeds = List.copyOf(seeds);
    innerKeys = List.copyOf(innerKeys);
  }

  /** TCP ports; 0 lets the machine choose a free one. */
  public record Ports(int callers, int inner, int operators) {}

  /**
   * The platform's key-value service.
   *
   * @param timeout longest wait for the answer to one call, a watch's own wait not counted
   */
  public record StoreSettings(URI uri, Duration timeout) {}

  /**
   * The platform's list of live and leaving VMs.
   *
   * @param fetchInterval time between two fetches
   */
  public record VmListSettings(URI uri, Duration fetchInterval) {}

  /** IP number and TCP port of a peer's inner protocol. */
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

  /** Where the number comes from that grows with each start of this entry VM. */
  public enum IncarnationSource {
    /** The revision of one write to the store at start; safe against clocks that go back. */
    STORE,
    /** Milliseconds since the Unix epoch at start; needs no store. */
    CLOCK,
    /** The number in the settings, from whoever makes the VM. */
    FIXED
  }

  /** Source of the incarnation; {@code number} counts only for {@link IncarnationSource#FIXED}. */
  public record Incarnation(IncarnationSource source, long number) {}

  /** Form of the logs. */
  public enum LogFormat {
    TEXT,
    JSON
  }

  /** Least level that is logged; {@code DEBUG} explains decisions. */
  public enum LogLevel {
    ERROR,
    WARNING,
    INFO,
    DEBUG
  }

  /** Logs go to standard error. */
  public record Logs(LogFormat format, LogLevel level) {}

  /**
   * Limits of the callers' port.
   *
   * @param maxHeadBytes largest request head
   * @param maxBodyBytes largest request body
   * @param maxConnections most open connections
   * @param workerThreads threads of the pool that serves them
   * @param idleTimeout time after which a connection is closed on which nothing moves
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
   * @throws SettingsException naming the first mistake in one line
   */
  public static EntrySettings read(Path file) throws SettingsException {
    return from(SettingsDocument.read(file));
  }

  /** Checks settings given as text; {@code fileName} is only used in errors. */
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

  /** Two listeners on one port would leave the second one closed, so a clash is refused here. */
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
        // The wrong value may be most of a secret, so it is not quoted.
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
          "a number beside source " + source.name().toLowerCase(Locale.ROOT),
          "it only with source fixed");
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
