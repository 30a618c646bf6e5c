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
 * An entry VM is restarted as planned while a backend leaves, and the later pages of its first read
 * of the store are older than the first page. Fails if the entry VM sends requests to the backend
 * later than {@code drain} after the backend's entry was removed; the record tells which of them
 * were cut off as the backend ended.
 */
final class StalePage {
  private static final String SERVICE = "wuno96b";
  private static final long DRAIN_MILLIS = 2_500;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long STALE_MILLIS = 3_000;
  private static final long WORK_MILLIS = 600;
  private static final long SERVING_MILLIS = 5_500;
  private static final int CLIENTS = 16;

  private final Deployment deployment;
  private final Map<String, Long> sentAt = new java.util.concurrent.ConcurrentHashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final List<String> unanswered = new ArrayList<>();
  private volatile Deployment.Backend leaving;
  private volatile long removedAt = Long.MAX_VALUE;
  private volatile long inTouchAt = Long.MAX_VALUE;
  private volatile boolean isEnding;
  private int answered;

  private StalePage(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] arguments) {
    Map<String, String> zones = new LinkedHashMap<>();
    zones.put("riga-old-town", "riga");
    zones.put("riga-agenskalns", "riga");
    Case.run(
        arguments, zones, (deployment, isTroubled) -> new StalePage(deployment).run(isTroubled));
  }

  private boolean run(boolean isTroubled) throws Exception {
    deployment.addService(SERVICE);
    deployment.addRoute("r-bid", "/xapu221/", "unsafe", SERVICE, 4_000);
    deployment.publish(1);
    List<Deployment.Backend> backends = new ArrayList<>();
    for (int i = 1; i <= 54; i++) {
      String zone = i % 2 == 0 ? "riga-old-town" : "riga-agenskalns";
      String service = i > 51 ? SERVICE : "kafi81c";
      backends.add(deployment.addBackend(String.format("i-%02d", i), service, zone, 6, this::work));
    }
    Deployment.Vm vm = deployment.addVm("front-a-1", "127.0.0.11", "riga-old-town");
    Deployment.Vm other = deployment.addVm("front-b-1", "127.0.0.12", "riga-agenskalns");
    vm.start();
    other.start();
    deployment.awaitReady();
    vm.terminate();
    vm.process.waitFor(10, java.util.concurrent.TimeUnit.SECONDS);
    deployment.note("front-a-1 has ended after SIGTERM");
    if (isTroubled) {
      deployment.store.setLaterPagesAge(STALE_MILLIS);
    }
    leaving = backends.get(53);
    leaving.leave();
    removedAt = System.currentTimeMillis();
    deployment.note("entry of " + leaving.id + " removed, it goes on serving");
    vm.start();
    inTouchAt = System.currentTimeMillis() + CONTACT_MILLIS + 500;
    while (vm.readiness() != 200) {
      if (System.currentTimeMillis() > removedAt + 10_000) {
        throw new Deployment.Unusable("the entry VM did not become ready again");
      }
      Thread.sleep(50);
    }
    deployment.note("front-a-1 is ready again");
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Thread client = new Thread(() -> sendMany(vm));
      client.start();
      clients.add(client);
    }
    Thread.sleep(Math.max(0, removedAt + SERVING_MILLIS - System.currentTimeMillis()));
    leaving.server.crash();
    deployment.note(leaving.id + " has ended");
    Thread.sleep(1_500);
    isEnding = true;
    for (Thread client : clients) {
      client.join(6_000);
    }
    deployment.note(answered + " requests answered 200");
    unanswered.forEach(each -> deployment.note("cut off: " + each));
    violations.forEach(each -> deployment.note("BROKEN " + each));
    if (answered == 0) {
      throw new Deployment.Unusable("no request was served");
    }
    return violations.isEmpty();
  }

  private void sendMany(Deployment.Vm vm) {
    while (!isEnding) {
      String id = Long.toHexString(new Random().nextLong());
      sentAt.put(id, System.currentTimeMillis());
      try (Client client = new Client(vm.ip, vm.callersPort())) {
        client.write(Client.head("POST", "/xapu221/2f", id, 4_000, "Content-Length: 0\r\n"));
        Client.Answer answer = client.read(6_000);
        synchronized (this) {
          if (answer != null && answer.status() == 200) {
            answered++;
          } else {
            unanswered.add(id + ": " + (answer == null ? "closed" : answer.head().firstLine()));
          }
        }
      } catch (IOException e) {
        synchronized (this) {
          unanswered.add(id + ": " + e);
        }
      }
    }
  }

  private boolean work(
      Deployment.Backend backend,
      Http.Head head,
      Http.Body body,
      OutputStream out,
      Socket connection)
      throws IOException, InterruptedException {
    String id = head.header("request-id");
    long now = System.currentTimeMillis();
    boolean isLeaving = backend == leaving;
    if (isLeaving) {
      String text =
          "request " + id + " reached " + backend.id + " " + (now - removedAt)
              + " ms after its entry was removed";
      deployment.note(text);
      if (now > removedAt + DRAIN_MILLIS && now > inTouchAt && sentAt.getOrDefault(id, 0L) > inTouchAt) {
        synchronized (this) {
          violations.add("DRAIN: " + text);
        }
      }
    }
    Thread.sleep(WORK_MILLIS);
    Server.respond(
        out,
        200,
        "OK",
        "Request-Id: " + id + "\r\nServer-Seal: 3e1b.07.5a2.2.0.c9f2a4d1\r\nServer-Load: 3,0,6\r\n"
            + (isLeaving ? "Connection: close\r\n" : ""),
        "ok".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
    return !isLeaving;
  }
}
