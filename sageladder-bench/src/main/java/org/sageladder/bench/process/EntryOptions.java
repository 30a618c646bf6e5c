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
 * @param platform address of the store and of the list of VMs
 * @param storeTimeout longest wait for the store, as in a settings file
 * @param listEvery how often it reads the list, as in a settings file
 * @param heapMegabytes largest heap
 * @param jvmOptions options of the JVM besides the usual ones
 * @param settings YAML added to the settings, lines that end with a line feed
 */
public record EntryOptions(
    String vm,
    String customer,
    String zone,
    URI platform,
    String storeTimeout,
    String listEvery,
    int heapMegabytes,
    List<String> jvmOptions,
    String settings) {
  private static final int HEAP_MEGABYTES = 48;

  /** Copies the list, so that the options cannot change. */
  public EntryOptions {
    jvmOptions = List.copyOf(jvmOptions);
  }

  /** Waits 1 s for the store, reads the list every 200 ms; 48 MB of heap. */
  public static EntryOptions of(String vm, String customer, String zone, URI platform) {
    return new EntryOptions(
        vm, customer, zone, platform, "1s", "200ms", HEAP_MEGABYTES, List.of(), "");
  }

  /** The same options for another entry VM. */
  public EntryOptions vm(String other, String otherZone) {
    return new EntryOptions(
        other,
        customer,
        otherZone,
        platform,
        storeTimeout,
        listEvery,
        heapMegabytes,
        jvmOptions,
        settings);
  }

  /** The same options with that longest wait for the store. */
  public EntryOptions storeTimeout(String time) {
    return new EntryOptions(
        vm, customer, zone, platform, time, listEvery, heapMegabytes, jvmOptions, settings);
  }

  /** The same options with that time between two readings of the list. */
  public EntryOptions listEvery(String time) {
    return new EntryOptions(
        vm, customer, zone, platform, storeTimeout, time, heapMegabytes, jvmOptions, settings);
  }

  /** The same options with that heap. */
  public EntryOptions heapMegabytes(int megabytes) {
    return new EntryOptions(
        vm, customer, zone, platform, storeTimeout, listEvery, megabytes, jvmOptions, settings);
  }

  /** The same options with more options of the JVM. */
  public EntryOptions jvmOptions(List<String> more) {
    List<String> all = new ArrayList<>(jvmOptions);
    all.addAll(more);
    return new EntryOptions(
        vm, customer, zone, platform, storeTimeout, listEvery, heapMegabytes, all, settings);
  }

  /** The same options with more YAML in the settings. */
  public EntryOptions settings(String yaml) {
    return new EntryOptions(
        vm,
        customer,
        zone,
        platform,
        storeTimeout,
        listEvery,
        heapMegabytes,
        jvmOptions,
        settings + yaml);
  }

  /** The settings file's text; port 0 is one that the process chooses. */
  String yaml(int callersPort, int innerPort) {
    return String.join(
        "\n",
        "vm: " + vm,
        "customer: " + customer,
        "zone: " + zone,
        "host: " + StandIns.HOST,
        "ports: {callers: " + callersPort + ", inner: " + innerPort + ", operators: 0}",
        "store: {uri: '" + platform + "', timeout: " + storeTimeout + "}",
        "vmList: {uri: '" + platform + "', every: " + listEvery + "}",
        settings);
  }
}
