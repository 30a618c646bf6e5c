package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: a store, backends that register there, and entry VMs as processes
 * with the command of the deploy file. Writes what happens to {@code record.txt}.
 */
final class Deployment implements AutoCloseable {
  static final String HOST = "hulo84.example";
  private static final Path RUN_DIRECTORY = Path.of("").toAbsolutePath();

  private final PrintWriter record;
  private final Path temporary;
  private final long startedAt = System.nanoTime();
  private final Map<String, String> regionOfZone = new LinkedHashMap<>();
  private final List<String> resources = new ArrayList<>();
  private final List<Vm> vms = new ArrayList<>();
  private final List<AutoCloseable> owned = new ArrayList<>();
  private final int[] ports;
  final Store store;

  /** One entry VM. */
  final class Vm {
    final String name;
    final String ip;
    final Path settings;
    final Path log;
    Process process;

    Vm(String name, String ip, Path settings, Path log) {
      this.name = name;
      this.ip = ip;
      this.settings = settings;
      this.log = log;
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(runCommand());
      Map<String, String> inherited = Map.copyOf(builder.environment());
      builder.environment().clear();
      for (String variable : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
        if (inherited.containsKey(variable)) {
          builder.environment().put(variable, inherited.get(variable));
        }
      }
      builder.environment().put("SAGELADDER_SETTINGS", settings.toString());
      builder.directory(RUN_DIRECTORY.toFile());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
      note("process of " + name + " started");
    }

    int callersPort() {
      return ports[0];
    }

    /** Status of the readiness check; 0 if it is not answered. */
    int readiness() {
      try (Socket socket = connect(ip, ports[1], 2_000)) {
        send(socket, "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        Http.Head head = Http.readHead(socket.getInputStream());
        return head == null ? 0 : head.status();
      } catch (IOException e) {
        return 0;
      }
    }

    String logText() throws IOException {
      return Files.readString(log, StandardCharsets.UTF_8);
    }

    /** Sends SIGTERM. */
    void terminate() {
      process.destroy();
    }

    /** Sends SIGKILL. */
    void kill() throws InterruptedException {
      process.destroyForcibly();
      process.waitFor(10, TimeUnit.SECONDS);
    }
  }

  /** Thrown where the case could not run. */
  static final class Unusable extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Unusable(String message) {
      super(message);
    }
  }

  Deployment(Path recordFile, Map<String, String> zones) throws IOException {
    this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    this.temporary = Files.createTempDirectory("review");
    this.regionOfZone.putAll(zones);
    this.ports = new int[] {freePort(), freePort(), freePort(), freePort()};
    this.store = new Store("127.0.0.1", freePort());
    owned.add(store);
  }

  /** Writes a line to the record. */
  synchronized void note(String text) {
    record.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, text);
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress("0.0.0.0", 0));
      return socket.getLocalPort();
    }
  }

  static Socket connect(String ip, int port, int timeoutMillis) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(InetAddress.getByName(ip), port), timeoutMillis);
    return socket;
  }

  static void send(Socket socket, String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Adds a route to the configuration that {@link #publish} writes. */
  void addRoute(String name, String prefix, String kind, String service, long timeoutMillis) {
    resources.add(
        "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"" + name + "\"},\"spec\":{\"host\":\""
            + HOST + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind + "\",\"timeout\":\""
            + timeoutMillis + "ms\",\"target_latency\":\"1000ms\",\"priority\":1,\"service\":\""
            + service + "\",\"max_attempts\":2,\"sticky_sessions\":false,\"allowed_regions\":[]}}");
  }

  /** Removes a route from the configuration that {@link #publish} writes. */
  void removeRoute(String name) {
    resources.removeIf(
        resource -> resource.contains("\"routes\",\"metadata\":{\"name\":\"" + name + "\"}"));
  }

  void addService(String name) {
    resources.add(
        "{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"" + name
            + "\"},\"spec\":{\"health_path\":\"/health\",\"max_connections\":390,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold_start\":\"3s\",\"cold_per_s\":3.1}}");
  }

  /** Writes the configuration, as the operator does. */
  void publish(int version) {
    store.put(
        "op/config",
        String.format(
            "{\"config_version\":\"%08x\",\"resources\":[%s,{\"resource_kind\":\"limits\","
                + "\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
                + "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}]}",
            version, String.join(",", resources)));
    note("configuration " + version + " written");
  }

  /** A backend; writes its entry every 1.5 s while it has power. */
  final class Backend {
    final String service;
    final String zone;
    final int slots;
    Server server;
    volatile String id;
    private volatile boolean isUp = true;
    private volatile long startedAt = System.currentTimeMillis() - 10_000;
    private int sequence;

    Backend(String id, String service, String zone, int slots) {
      this.id = id;
      this.service = service;
      this.zone = zone;
      this.slots = slots;
    }

    private void beat() {
      while (true) {
        register();
        try {
          Thread.sleep(1_500);
        } catch (InterruptedException e) {
          return;
        }
      }
    }

    synchronized void register() {
      if (!isUp) {
        return;
      }
      sequence++;
      long coldMillis = Math.max(0, startedAt + 3_000 - System.currentTimeMillis());
      store.put(
          "servers/" + id,
          "{\"service\":\"" + service + "\",\"address\":\"" + server.address() + "\",\"zone\":\""
              + zone + "\",\"config_version\":\"v1\",\"slots\":" + slots
              + ",\"state\":\"ready\",\"cold_left\":\"" + coldMillis + "ms\",\"sequence\":" + sequence
              + "}");
    }

    /** Loses power. Its entry is removed after three heartbeat intervals. */
    void goDark() throws IOException {
      isUp = false;
      String lostId = id;
      server.goDark();
      Thread thread =
          new Thread(
              () -> {
                try {
                  Thread.sleep(4_500);
                } catch (InterruptedException e) {
                  return;
                }
                store.remove("servers/" + lostId);
              });
      thread.setDaemon(true);
      thread.start();
    }

    /** Its entry is removed without notice; it goes on serving. */
    synchronized void leave() {
      isUp = false;
      store.remove("servers/" + id);
    }

    /** Has power again, as a new incarnation that is cold. */
    void returnFromDark(String newId) throws IOException {
      server.returnFromDark();
      id = newId;
      startedAt = System.currentTimeMillis();
      isUp = true;
      register();
    }
  }

  /** Answers a request that a backend has accepted. */
  interface Work {
    boolean run(
        Backend backend, Http.Head head, Http.Body body, OutputStream out, Socket connection)
        throws IOException, InterruptedException;
  }

  /** Adds a backend. It answers health checks itself and rejects what expects another instance. */
  Backend addBackend(String id, String service, String zone, int slots, Work work)
      throws IOException {
    Backend backend = new Backend(id, service, zone, slots);
    backend.server =
        new Server(
            "127.0.0.1",
            freePort(),
            (head, body, out, connection) -> {
              if (head.target().equals("/health")) {
                Server.respond(out, 200, "OK", "Instance-Id: " + backend.id + "\r\n", new byte[0]);
                return true;
              }
              String expected = head.header("expected-instance");
              if (expected != null && !expected.equals(backend.id)) {
                Server.respond(
                    out, 421, "Misdirected Request", "Instance-Id: " + backend.id + "\r\n",
                    new byte[0]);
                return true;
              }
              return work.run(backend, head, body, out, connection);
            });
    owned.add(backend.server);
    Thread thread = new Thread(backend::beat, "heartbeat of " + id);
    thread.setDaemon(true);
    thread.start();
    return backend;
  }

  /** Adds an entry VM, which is not started yet. */
  Vm addVm(String name, String ip, String zone) throws IOException {
    StringBuilder zones = new StringBuilder();
    regionOfZone.forEach((key, region) -> zones.append(key + " = \"" + region + "\"\n"));
    String text =
        "node_name = \"" + name + "\"\nrole = \"entry\"\nmachine_class = \"front\"\n"
            + "serves = [\"front\",\"directory\"]\nip = \"" + ip + "\"\nzone = \"" + zone + "\"\n"
            + "region = \"" + regionOfZone.get(zone) + "\"\ninternal_ports = [" + ports[3] + ","
            + (ports[3] + 15) + "]\nseeds = []\nbootstrap = true\nin_loss_budget = false\n"
            + "discovery = \"platform\"\nentry = \"directory\"\nheartbeat = \"1500ms\"\n"
            + "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"platform\"]\n"
            + "[zones]\n" + zones + "[listen]\nfront = \"" + ip + ":" + ports[0] + "\"\nready = \""
            + ip + ":" + ports[1] + "\"\ndirectory = \"" + ip + ":" + ports[2] + "\"\n[limits]\n"
            + "cpu_share = 0.6\ncores = 1\nmemory_mb = 430\nmax_fds = 4100\nlink_mbps = 1000.0\n"
            + "disk_mb = 0\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 1\n[bounds]\n"
            + "seed_lag = \"3s\"\nreuse_after = \"2s\"\ncontact = \"3000ms\"\nack = \"4000ms\"\n"
            + "catch_up = \"4s\"\ndrain = \"2500ms\"\ngrace = \"6s\"\nloss_slack = \"200ms\"\n"
            + "config_apply = \"2500ms\"\nrollback_slack = \"250ms\"\nmax_stretch = \"5000ms\"\n"
            + "budget_ratio = 0.2\nbudget_window = \"10s\"\nbudget_extra = 64\ncold_over = 1.5\n"
            + "cold_slack = 5\nevacuate = \"5000ms\"\nrecover = \"15s\"\nttl_max = \"5s\"\n"
            + "shift_most = 0.15\n[provider]\naddress = \"" + store.address() + "\"\nform = \"kv\"\n"
            + "writes_per_s = 400\nreads_per_s = 2000\nhistory = \"20s\"\nvalue_bytes = 1048576\n"
            + "ttl_min = \"1000ms\"\n";
    Path settings = temporary.resolve(name + ".toml");
    Files.writeString(settings, text);
    Vm vm = new Vm(name, ip, settings, temporary.resolve(name + ".log"));
    vms.add(vm);
    return vm;
  }

  private static List<String> runCommand() throws IOException {
    String deploy = Files.readString(RUN_DIRECTORY.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new Unusable("no command in deploy/system.toml");
    }
    return List.of(run.group(1).split(" "));
  }

  /** Waits until all VMs are ready and registered. */
  void awaitReady() throws InterruptedException {
    long endsAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < endsAt) {
      boolean areReady = vms.stream().allMatch(vm -> vm.readiness() == 200);
      if (areReady && store.keys("sageladder/entry/").size() >= vms.size()) {
        Thread.sleep(2_000);
        note("all entry VMs are ready");
        return;
      }
      Thread.sleep(100);
    }
    throw new Unusable("the entry VMs did not become ready");
  }

  /** Log lines of a VM that contain {@code text}, at most {@code max} of them, for the record. */
  void noteLog(Vm vm, String text, int max) throws IOException {
    vm.logText()
        .lines()
        .filter(line -> line.contains(text))
        .limit(max)
        .forEach(line -> note(vm.name + " logs: " + line));
  }

  static int readSome(InputStream in, int max) throws IOException {
    return in.read(new byte[max]);
  }

  /** Kills the processes of all entry VMs. */
  void killVms() {
    for (Vm vm : vms) {
      if (vm.process != null) {
        vm.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws Exception {
    killVms();
    for (Vm vm : vms) {
      if (vm.process != null) {
        vm.process.waitFor(10, TimeUnit.SECONDS);
      }
    }
    for (AutoCloseable each : owned) {
      each.close();
    }
    String keep = System.getenv("KEEP_LOGS");
    if (keep == null) {
      try (var files = Files.list(temporary)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(temporary);
    } else {
      System.err.println("logs in " + temporary);
    }
    record.close();
  }
}
