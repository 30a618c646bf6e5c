package org.sageladder.bench.process;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;

/**
 * Start options of an {@link EntryProcess}.
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
 * @param storeTimeout timeout of store calls, in the syntax of the settings file
 * @param listInterval interval between reads of the VM list, in the syntax of the settings file
 * @param heapMegabytes maximum heap
 * @param jvmOptions JVM options in addition to the default ones
 * @param settings YAML lines added to the settings, each ending with a line feed
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

  /** Makes a defensive copy of the list. */
  public EntryOptions {
    jvmOptions = List.copyOf(jvmOptions);
  }

  /** Options with a store timeout of 1 s, a list interval of 200 ms and 48 MB of heap. */
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

  /** The same options with this timeout of store calls. */
  public EntryOptions storeTimeout(String time) {
    return new EntryOptions(
        vm, customer, zone, platformUri, time, listInterval, heapMegabytes, jvmOptions, settings);
  }

  /** The same options with this interval between reads of the list. */
  public EntryOptions listInterval(String time) {
    return new EntryOptions(
        vm, customer, zone, platformUri, storeTimeout, time, heapMegabytes, jvmOptions, settings);
  }

  /** The same options with this maximum heap. */
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

  /** The same options with these JVM options added. */
  public EntryOptions jvmOptions(List<String> more) {
    List<String> all = new ArrayList<>(jvmOptions);
    all.addAll(more);
    return new EntryOptions(
        vm, customer, zone, platformUri, storeTimeout, listInterval, heapMegabytes, all, settings);
  }

  /** The same options with this YAML added to the settings. */
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

  /** The text of the settings file; for port 0 the process selects a free port. */
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
