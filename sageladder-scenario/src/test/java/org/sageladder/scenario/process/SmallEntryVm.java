package org.sageladder.scenario.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.ServiceRule;
import org.sageladder.core.routing.ServiceShare;
import org.sageladder.forward.Loop;
import org.sageladder.standin.http.MisbehavingClients;
import org.sageladder.standin.http.RequestBytes;
import org.sageladder.standin.platform.PlatformTexts;
import org.sageladder.standin.platform.ServerPort;
import org.sageladder.standin.platform.StoreModel;
import org.sageladder.standin.platform.StorePort;

/**
 * One entry VM as a process of its own with a small heap, beside stand-ins of the store and of a
 * target in this process.
 *
 * <p>Its routes are those of host {@code h}: {@code /plain/} for ordinary requests, {@code /slow/},
 * {@code /heads/} and {@code /large/} as {@link ScriptedPlatformTarget} responds to them.
 */
final class SmallEntryVm implements AutoCloseable {
  /** Ports of an entry VM. */
  enum Port {
    CALLERS,
    READINESS,
    LOOK_UPS,
    METRICS,
    PEERS
  }

  /** Heap with which entry VMs run, and memory and descriptors of the smallest machine. */
  static final int DEPLOYED_HEAP_MEGABYTES = 64;

  static final int DEPLOYED_DESCRIPTORS = 2_870;
  private static final int DEPLOYED_MEMORY_MEGABYTES = 282;
  private static final int SMALL_HEAP_MEGABYTES = 24;

  private static final int TARGET_SLOTS = 2_000;
  private static final long ROUTE_TIMEOUT_MILLIS = 120_000;
  private static final int DEFAULT_BODY_LIMIT = 1 << 20;
  private static final int BODY_LIMIT = 64 << 20;
  private static final int ANSWER_TIMEOUT_MILLIS = 5_000;

  /** Only guards against a VM that never answers. */
  private static final int MAX_ORDINARY_REQUESTS = 60;

  private static final int PAUSE_MILLIS = 250;

  private final Loop loop = Loop.start();
  private final LocalPorts ports = LocalPorts.reserve();
  private final int heapMegabytes;
  private final Path folder;
  private final Map<Port, Integer> portNumbers;
  private final EntryVmProcess process;
  private int requestCount;

  private SmallEntryVm(int heapMegabytes, int maxDescriptors, Path folder)
      throws IOException, InterruptedException {
    this.heapMegabytes = heapMegabytes;
    this.folder = folder;
    List<Integer> vmPorts = List.of(ports.next(), ports.next(), ports.next(), ports.nextPair());
    this.portNumbers =
        Map.of(
            Port.CALLERS, vmPorts.get(0),
            Port.READINESS, vmPorts.get(1),
            Port.LOOK_UPS, vmPorts.get(2),
            Port.METRICS, vmPorts.get(3),
            Port.PEERS, vmPorts.get(3) + 1);
    int storePort = ports.next();
    openStoreAndTarget(storePort, ports.next());
    String settings =
        PlatformTexts.settings(
            "entry-1",
            LocalPorts.HOST,
            "z",
            Map.of("z", "r"),
            vmPorts,
            LocalPorts.HOST + ':' + storePort);
    this.process =
        EntryVmProcess.create(
            "entry-1",
            EntryVmPrograms.limited(EntryVmPrograms.ofThisBuild(heapMegabytes), maxDescriptors),
            settings + "[limits]\nmax_fds = " + maxDescriptors + "\n",
            folder);
  }

  /** Starts an entry VM with a heap of 24 MB and the descriptors of the smallest machine. */
  static SmallEntryVm start(Path folder) throws Exception {
    return start(SMALL_HEAP_MEGABYTES, DEPLOYED_DESCRIPTORS, folder);
  }

  /**
   * Starts the entry VM and waits until it answers.
   *
   * @param folder receives settings and log
   */
  static SmallEntryVm start(int heapMegabytes, int maxDescriptors, Path folder) throws Exception {
    SmallEntryVm vm = new SmallEntryVm(heapMegabytes, maxDescriptors, folder);
    vm.process.start();
    vm.assertAnswersOrdinaryRequest();
    return vm;
  }

  private void openStoreAndTarget(int storePort, int targetPort) throws InterruptedException {
    StoreModel store = new StoreModel(loop::nowMillis, StoreModel.MAX_PAGE_ITEMS);
    List<RouteRule> routes =
        List.of(route("/plain/"), route("/slow/"), route("/heads/"), route("/large/"));
    String configuration =
        PlatformTexts.configuration(1, routes, List.of(new ServiceRule("s", TARGET_SLOTS, 0, 0)))
            .replace(
                "\"max_body_bytes\":" + DEFAULT_BODY_LIMIT, "\"max_body_bytes\":" + BODY_LIMIT);
    TargetFacts facts =
        new TargetFacts(
            new TargetIncarnation("t-1", loop.wallMillis()),
            0,
            "s",
            LocalPorts.HOST,
            targetPort,
            "z",
            "r",
            TARGET_SLOTS,
            false,
            0);
    loop.execute(
        () -> {
          store.put("op/config", PlatformTexts.base64(configuration), 0);
          store.put("servers/t-1", PlatformTexts.base64(PlatformTexts.targetEntry(facts, 0)), 0);
          StorePort.open(
              loop, LocalPorts.HOST, storePort, store, ServerPort.OpenListener.ignored());
        });
    ScriptedPlatformTarget.open(loop, LocalPorts.HOST, targetPort);
  }

  private static RouteRule route(String prefix) {
    return new RouteRule(
        prefix,
        "h",
        prefix,
        true,
        ROUTE_TIMEOUT_MILLIS,
        ROUTE_TIMEOUT_MILLIS,
        1,
        List.of(new ServiceShare("s", 1)),
        1,
        false,
        Set.of(),
        false);
  }

  /** Address of one of the VM's ports. */
  InetSocketAddress address(Port port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), portNumbers.get(port));
  }

  /**
   * Plays clients against one port and checks that they do no harm: while they keep their
   * connections open, the process lives within its memory and descriptors, and answers.
   */
  void assertWithstands(
      Port port, int clientCount, byte[] request, MisbehavingClients.Reading reading)
      throws Exception {
    try (MisbehavingClients clients =
        MisbehavingClients.of(address(port), clientCount, request, reading)) {
      clients.play();
      assertSound();
    }
  }

  /** Checks that the process lives, how much it holds, and that it answers. */
  void assertSound() throws Exception {
    assertAnswersOrdinaryRequest();
    int megabytes = peakResidentMegabytes();
    int bound = DEPLOYED_MEMORY_MEGABYTES - DEPLOYED_HEAP_MEGABYTES + heapMegabytes;
    assertTrue(megabytes <= bound, megabytes + " MB resident, " + bound + " allowed");
    assertTrue(process.isAlive(), () -> "the process has ended:\n" + endOfLog());
  }

  /** Sends ordinary requests until one is answered; fails if none is. */
  private void assertAnswersOrdinaryRequest() throws InterruptedException {
    String last = "";
    for (int i = 0; i < MAX_ORDINARY_REQUESTS && process.isAlive(); i++) {
      last = ordinaryRequestStatus();
      if (last.equals("200")) {
        return;
      }
      Thread.sleep(PAUSE_MILLIS);
    }
    String state = process.isAlive() ? "the process lives:\n" : "the process has ended:\n";
    assertEquals("200", last, () -> state + endOfLog());
  }

  private String ordinaryRequestStatus() {
    requestCount++;
    try {
      return status(
          RequestBytes.of(
                  "GET /plain/1 HTTP/1.1",
                  "Host: h",
                  "Request-Id: o-" + requestCount,
                  "Request-Deadline: " + ANSWER_TIMEOUT_MILLIS)
              .endOfHead()
              .toByteArray(),
          ANSWER_TIMEOUT_MILLIS);
    } catch (IOException e) {
      return e.toString();
    }
  }

  /** Sends a request of a caller and returns the status of its answer, empty if there is none. */
  String status(byte[] request) throws IOException {
    return status(request, (int) ROUTE_TIMEOUT_MILLIS);
  }

  private String status(byte[] request, int timeoutMillis) throws IOException {
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(timeoutMillis);
      socket.connect(address(Port.CALLERS), ANSWER_TIMEOUT_MILLIS);
      socket.getOutputStream().write(request);
      byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
      String line = new String(start, StandardCharsets.ISO_8859_1);
      return line.substring(Math.min(line.length(), "HTTP/1.1 ".length()));
    }
  }

  private int peakResidentMegabytes() throws IOException {
    Path status = Path.of("/proc", Long.toString(process.pid()), "status");
    for (String line : Files.readAllLines(status)) {
      if (line.startsWith("VmHWM:")) {
        return Integer.parseInt(line.replaceAll("[^0-9]", "")) >> 10;
      }
    }
    throw new IOException("no VmHWM in " + status);
  }

  /** Number of descriptors that the process has open. */
  int openDescriptorCount() {
    File[] open = new File("/proc/" + process.pid() + "/fd").listFiles();
    return open == null ? 0 : open.length;
  }

  private String endOfLog() {
    try {
      List<String> lines = Files.readAllLines(folder.resolve("entry-1.jsonl"));
      return String.join("\n", lines.subList(Math.max(0, lines.size() - 10), lines.size()));
    } catch (IOException e) {
      return e.toString();
    }
  }

  @Override
  public void close() throws IOException {
    process.kill();
    loop.close();
    ports.close();
  }
}
