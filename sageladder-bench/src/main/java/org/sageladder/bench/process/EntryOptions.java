package org.sageladder.bench.process;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;

/**
 * What an {@link EntryProcess} is started with.
 *
 * <pre>{@code
 * EntryOptions options =
 *     EntryOptions.of("entry-0", "kalnins-dauge", "riga-1", store.address())
 *         .heapMegabytes(96)
 *         .settings("callerLimits: {workers: 2}\n");
 * }</pre>
 *
 * @param vm name of the entry VM
 * @param customer customer it belongs to
 * @param zone its availability zone
 * @param platformUri address of the store and of the list of VMs
 * @param storeTimeout longest wait for the store, as in a settings file
 * @param listInterval how often it reads the list, as in a settings file
 * @param heapMegabytes largest heap
 * @param jvmOptions options of the JVM besides the usual ones
 * @param settings YAML added to the settings, lines that end with a line feed
 */
public record EntryOptions(
    String vm,
    String customer,
    String zone,
    URI platformUri,
    String storeTimeout,
    String listInterval,
    int heapMegabytes,
    List<String> jvmOptions,
    String settings) {
  private static final int DEFAULT_HEAP_MEGABYTES = 48;

  /** Copies the list, so that the options cannot change. */
  public EntryOptions {
    jvmOptions = List.copyOf(jvmOptions);
  }

  /** Waits 1 s for the store, reads the list every 200 ms; 48 MB of heap. */
  public static EntryOptions of(String vm, String customer, String zone, URI platform) {
    return new EntryOptions(
        vm, customer, zone, platform, "1s", "200ms", DEFAULT_HEAP_MEGABYTES, List.of(), "");
  }

  /** The same options for another entry VM. */
  public EntryOptions vm(String other, String otherZone) {
    return new EntryOptions(
        other,
        customer,
        otherZone,
        platformUri,
        storeTimeout,
        listInterval,
        heapMegabytes,
        jvmOptions,
        settings);
  }

  /** The same options with that longest wait for the store. */
  public EntryOptions storeTimeout(String time) {
    return new EntryOptions(
        vm, customer, zone, platformUri, time, listInterval, heapMegabytes, jvmOptions, settings);
  }

  /** The same options with that time between two readings of the list. */
  public EntryOptions listInterval(String time) {
    return new EntryOptions(
        vm, customer, zone, platformUri, storeTimeout, time, heapMegabytes, jvmOptions, settings);
  }

  /** The same options with that heap. */
  public EntryOptions heapMegabytes(int megabytes) {
    return new EntryOptions(
        vm,
        customer,
        zone,
        platformUri,
        storeTimeout,
        listInterval,
        megabytes,
        jvmOptions,
        settings);
  }

  /** The same options with more options of the JVM. */
  public EntryOptions jvmOptions(List<String> more) {
    List<String> all = new ArrayList<>(jvmOptions);
    all.addAll(more);
    return new EntryOptions(
        vm, customer, zone, platformUri, storeTimeout, listInterval, heapMegabytes, all, settings);
  }

  /** The same options with more YAML in the settings. */
  public EntryOptions settings(String yaml) {
    return new EntryOptions(
        vm,
        customer,
        zone,
        platformUri,
        storeTimeout,
        listInterval,
        heapMegabytes,
        jvmOptions,
        settings + yaml);
  }

  /** The settings file's text; port 0 is one that the process chooses. */
  String toYaml(int callersPort, int innerPort) {
    return String.join(
        "\n",
        "vm: " + vm,
        "customer: " + customer,
        "zone: " + zone,
        "host: " + StandIns.HOST,
        "ports: {callers: " + callersPort + ", inner: " + innerPort + ", operators: 0}",
        "store: {uri: '" + platformUri + "', timeout: " + storeTimeout + "}",
        "vmList: {uri: '" + platformUri + "', every: " + listInterval + "}",
        settings);
  }
}
