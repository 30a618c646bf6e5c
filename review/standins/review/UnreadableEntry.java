package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Another writer writes one entry under {@code servers/} that cannot be read; then the operator
 * moves a route to another service and adds one. Fails if entry VMs go on as only the older
 * configuration allows. Then the entry VMs are restarted one by one, and the record tells whether
 * they become ready.
 */
final class UnreadableEntry {
  private static final String OLD_SERVICE = "wuno96b";
  private static final String NEW_SERVICE = "kafi81c";
  private static final int DEPTH = 3_000;
  private static final long CONFIG_APPLY_MILLIS = 4_000;

  private final Deployment deployment;
  private final Map<String, String> serviceOfRun = new java.util.concurrent.ConcurrentHashMap<>();
  private final List<String> violations = new ArrayList<>();

  private UnreadableEntry(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] arguments) {
    Map<String, String> zones = new LinkedHashMap<>();
    zones.put("vestur-a", "vestur");
    zones.put("austur-a", "austur");
    Case.run(
        arguments,
        zones,
        (deployment, isTroubled) -> new UnreadableEntry(deployment).run(isTroubled));
  }

  private boolean run(boolean isTroubled) throws Exception {
    deployment.addService(OLD_SERVICE);
    deployment.addService(NEW_SERVICE);
    deployment.addRoute("r-book", "/book/", "unsafe", OLD_SERVICE, 4_000);
    deployment.publish(1);
    for (int i = 1; i <= 4; i++) {
      String zone = i % 2 == 0 ? "vestur-a" : "austur-a";
      deployment.addBackend("i-old" + i, OLD_SERVICE, zone, 3, this::work);
      deployment.addBackend("i-new" + i, NEW_SERVICE, zone, 3, this::work);
    }
    List<Deployment.Vm> vms = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      String zone = i % 2 == 0 ? "vestur-a" : "austur-a";
      vms.add(deployment.addVm("front-" + i, "127.0.0.1" + i, zone));
      vms.get(i - 1).start();
    }
    deployment.awaitReady();
    for (Deployment.Vm vm : vms) {
      send(vm, "/book/1");
    }
    if (isTroubled) {
      deployment.store.put("servers/i-foreign", "{\"a\":".repeat(DEPTH));
      deployment.note("an entry of " + 5 * DEPTH + " bytes that cannot be read was written");
    }
    Thread.sleep(5_000);
    deployment.removeRoute("r-book");
    deployment.addRoute("r-book", "/book/", "unsafe", NEW_SERVICE, 4_000);
    deployment.addRoute("r-ledger", "/ledger/", "safe", NEW_SERVICE, 4_000);
    deployment.publish(2);
    Thread.sleep(CONFIG_APPLY_MILLIS + 6_000);
    deployment.note("10 s after the acknowledgement of configuration 2");
    for (Deployment.Vm vm : vms) {
      check(vm);
    }
    boolean held = violations.isEmpty();
    for (Deployment.Vm vm : vms) {
      vm.terminate();
      vm.process.waitFor(10, java.util.concurrent.TimeUnit.SECONDS);
      vm.start();
      Thread.sleep(6_000);
      deployment.note(vm.name + " 6 s after its restart: readiness " + vm.readiness());
    }
    violations.forEach(each -> deployment.note("BROKEN " + each));
    return held;
  }

  private void check(Deployment.Vm vm) throws IOException {
    String id = send(vm, "/book/2");
    String service = serviceOfRun.get(id);
    if (OLD_SERVICE.equals(service)) {
      violations.add("CONFIG: " + id + " at " + vm.name + " was run by the old service");
    }
    if (lastStatus != 200) {
      violations.add("CONFIG: " + id + " at " + vm.name + " was answered " + lastStatus);
    }
    id = send(vm, "/ledger/1");
    if (lastStatus == 404) {
      violations.add("CONFIG: " + id + " at " + vm.name + " was refused with 404, its route is there");
    }
  }

  private int lastStatus;

  private String send(Deployment.Vm vm, String path) throws IOException {
    String id = Long.toHexString(new Random().nextLong());
    try (Client client = new Client(vm.ip, vm.callersPort())) {
      client.write(Client.head("POST", path, id, 4_000, "Content-Length: 0\r\n"));
      Client.Answer answer = client.read(6_000);
      lastStatus = answer == null ? 0 : answer.status();
      deployment.note(
          "sent " + id + " " + path + " to " + vm.name + ": answered " + lastStatus + ", run by "
              + serviceOfRun.getOrDefault(id, "none"));
    }
    return id;
  }

  private boolean work(
      Deployment.Backend backend,
      Http.Head head,
      Http.Body body,
      OutputStream out,
      Socket connection)
      throws IOException, InterruptedException {
    String id = head.header("request-id");
    serviceOfRun.put(id, backend.service);
    Thread.sleep(50);
    Server.respond(
        out,
        200,
        "OK",
        "Request-Id: " + id + "\r\nServer-Seal: 3e1b.07.5a2.2.0.c9f2a4d1\r\nServer-Load: 1,0,3\r\n",
        "ok".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
    return true;
  }
}
