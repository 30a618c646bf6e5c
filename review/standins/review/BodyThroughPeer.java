package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Large bodies in chunks, while the backends of a zone are dark and configurations come in quick
 * succession. Fails if a backend runs a request with another body than its client sent.
 */
final class BodyThroughPeer {
  private static final int ROUNDS = 8;
  private static final long CHANGE_GAP_MILLIS = 255;
  private static final int BODY_BYTES = 300_000;
  private static final String SERVICE = "wuno96b";
  private static final String IDLE_SERVICE = "kafi81c";

  private final Deployment deployment;
  private final Map<String, byte[]> sent = new ConcurrentHashMap<>();
  private final List<String> violations = new ArrayList<>();
  private int runs;

  private BodyThroughPeer(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] arguments) {
    Map<String, String> zones = new LinkedHashMap<>();
    zones.put("riga-old-town", "riga");
    zones.put("riga-agenskalns", "riga");
    Case.run(
        arguments,
        zones,
        (deployment, isTroubled) -> new BodyThroughPeer(deployment).run(isTroubled));
  }

  private boolean run(boolean isTroubled) throws Exception {
    deployment.addService(SERVICE);
    deployment.addRoute("r-bid", "/xapu221/", "unsafe", SERVICE, 4_000);
    int version = 1;
    deployment.publish(version);
    List<Deployment.Backend> ownZone = new ArrayList<>();
    for (int i = 1; i <= 2; i++) {
      ownZone.add(deployment.addBackend("i-a" + i, SERVICE, "riga-old-town", 3, this::work));
    }
    for (int i = 1; i <= 4; i++) {
      deployment.addBackend("i-b" + i, SERVICE, "riga-agenskalns", 3, this::work);
    }
    // Backends of another service, which get no requests. With their heartbeats the store has as many
    // changes a second as in a deployment of some dozens of backends.
    deployment.addService(IDLE_SERVICE);
    for (int i = 1; i <= 30; i++) {
      String zone = i % 2 == 0 ? "riga-old-town" : "riga-agenskalns";
      deployment.addBackend("i-c" + i, IDLE_SERVICE, zone, 3, this::work);
      Thread.sleep(47);
    }
    deployment.publish(++version);
    List<Deployment.Vm> vms =
        List.of(
            deployment.addVm("front-a-1", "127.0.0.11", "riga-old-town"),
            deployment.addVm("front-a-2", "127.0.0.12", "riga-old-town"),
            deployment.addVm("front-b-1", "127.0.0.13", "riga-agenskalns"));
    for (Deployment.Vm vm : vms) {
      vm.start();
    }
    deployment.awaitReady();
    for (Deployment.Vm vm : vms) {
      send(vm, "warm-up " + vm.name).join();
    }
    Thread.sleep(4_000);
    for (int round = 1; round <= ROUNDS && violations.isEmpty(); round++) {
      deployment.note("round " + round);
      if (isTroubled) {
        for (Deployment.Backend backend : ownZone) {
          backend.goDark();
        }
        deployment.note("backends of riga-old-town are dark");
      }
      long startedAt = System.currentTimeMillis();
      List<Thread> requests = new ArrayList<>();
      for (int change = 1; change <= 12; change++) {
        deployment.publish(++version);
        if (change == 2) {
          for (Deployment.Vm vm : vms.subList(0, 2)) {
            requests.add(send(vm, "round " + round));
          }
        }
        Thread.sleep(CHANGE_GAP_MILLIS);
      }
      for (Thread request : requests) {
        request.join();
      }
      Thread.sleep(Math.max(0, startedAt + 4_500 - System.currentTimeMillis()));
      if (isTroubled) {
        for (int i = 0; i < ownZone.size(); i++) {
          ownZone.get(i).returnFromDark("i-a" + (i + 1) + "-" + round);
        }
        deployment.note("backends of riga-old-town are back");
      }
      long backAt = System.currentTimeMillis();
      if (round < ROUNDS && violations.isEmpty()) {
        restart(vms.get(1));
        Thread.sleep(Math.max(0, backAt + 5_000 - System.currentTimeMillis()));
      }
    }
    for (Deployment.Vm vm : vms) {
      deployment.noteLog(vm, "RULES_OUT_OF_DATE", 10);
    }
    deployment.note(sent.size() + " requests sent, " + runs + " run");
    violations.forEach(each -> deployment.note("BROKEN " + each));
    if (runs < vms.size()) {
      throw new Deployment.Unusable("fewer runs than warm-up requests");
    }
    return violations.isEmpty();
  }

  /** Stops and starts an entry VM as planned; with it the time at which it fetches changes moves. */
  private void restart(Deployment.Vm vm) throws Exception {
    vm.terminate();
    vm.process.waitFor(10, java.util.concurrent.TimeUnit.SECONDS);
    Thread.sleep(new Random().nextInt(600));
    vm.start();
    for (int i = 0; i < 100 && vm.readiness() != 200; i++) {
      Thread.sleep(50);
    }
  }

  private Thread send(Deployment.Vm vm, String what) {
    String id = Long.toHexString(new Random().nextLong());
    byte[] body = new byte[BODY_BYTES];
    new Random().nextBytes(body);
    sent.put(id, body);
    Thread thread =
        new Thread(
            () -> {
              deployment.note(
                  "sent " + id + " to " + vm.name + " (" + what + "), body of " + body.length
                      + " bytes with checksum " + Client.checksum(body));
              try (Client client = new Client(vm.ip, vm.callersPort())) {
                client.write(
                    Client.head("POST", "/xapu221/2f", id, 4_000, "Transfer-Encoding: chunked\r\n"));
                client.writeChunks(body, 16_000);
                Client.Answer answer = client.read(6_000);
                deployment.note(
                    "answered " + id + ": "
                        + (answer == null ? "closed" : answer.head().firstLine()));
              } catch (java.io.IOException e) {
                deployment.note("answered " + id + ": " + e);
              }
            });
    thread.start();
    return thread;
  }

  private boolean work(
      Deployment.Backend backend,
      Http.Head head,
      Http.Body body,
      java.io.OutputStream out,
      java.net.Socket connection)
      throws java.io.IOException, InterruptedException {
    String id = head.header("request-id");
    if (!body.isComplete()) {
      deployment.note("request " + id + " broken off at " + backend.id);
      return false;
    }
    byte[] expected = sent.get(id);
    synchronized (this) {
      runs++;
      String text =
          "run of " + id + " at " + backend.id + " with body of " + body.bytes().length
              + " bytes with checksum " + Client.checksum(body.bytes());
      deployment.note(text);
      if (expected == null || !java.util.Arrays.equals(expected, body.bytes())) {
        violations.add("UNASKED: " + text + "; sent were " + BODY_BYTES);
      }
    }
    Thread.sleep(100);
    Server.respond(
        out,
        200,
        "OK",
        "Request-Id: " + id + "\r\nServer-Seal: 3e1b.07.5a2.2.0.c9f2a4d1\r\nServer-Load: 1,0,3\r\n",
        "ok".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
    return true;
  }
}
