package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client asks for one long record and 399 short ones, and sends them without waiting for answers.
 * Fails if more than half of the requests that are unanswered at their route's timeout have no
 * answer half a second later.
 */
final class PipelinedBurst {
  private static final String SERVICE = "wuno96b";
  private static final int BURSTS = 6;
  private static final int REQUESTS = 400;
  private static final long TIMEOUT_MILLIS = 4_000;

  private final Deployment deployment;
  private final Set<String> run = ConcurrentHashMap.newKeySet();

  private PipelinedBurst(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] arguments) {
    Map<String, String> zones = new LinkedHashMap<>();
    zones.put("riga-old-town", "riga");
    zones.put("riga-agenskalns", "riga");
    Case.run(
        arguments,
        zones,
        (deployment, isTroubled) -> new PipelinedBurst(deployment).run(isTroubled));
  }

  private boolean run(boolean isTroubled) throws Exception {
    deployment.addService(SERVICE);
    deployment.addRoute("r-pull", "/pull/", "safe", SERVICE, TIMEOUT_MILLIS);
    deployment.publish(1);
    for (int i = 1; i <= 12; i++) {
      String zone = i % 2 == 0 ? "riga-old-town" : "riga-agenskalns";
      deployment.addBackend("i-" + i, SERVICE, zone, 9, this::work);
    }
    Deployment.Vm vm = deployment.addVm("front-a-1", "127.0.0.11", "riga-old-town");
    Deployment.Vm other = deployment.addVm("front-b-1", "127.0.0.12", "riga-agenskalns");
    vm.start();
    other.start();
    deployment.awaitReady();
    int late = 0;
    int unanswered = 0;
    try (Client client = new Client(vm.ip, vm.callersPort())) {
      for (int burst = 1; burst <= BURSTS && unanswered == 0; burst++) {
        List<String> ids = new ArrayList<>();
        StringBuilder requests = new StringBuilder();
        long sentAt = System.currentTimeMillis();
        Map<Integer, Integer> statuses = new java.util.TreeMap<>();
        int answered = 0;
        for (int i = 0; i < REQUESTS; i++) {
          String id = "b" + burst + "-" + i;
          ids.add(id);
          String path = i == 0 ? "/pull/long" : "/pull/short";
          String text = Client.head("GET", path, id, TIMEOUT_MILLIS + 500, "");
          if (isTroubled) {
            requests.append(text);
            continue;
          }
          client.write(text);
          Client.Answer answer = client.read(8_000);
          statuses.merge(answer == null ? 0 : answer.status(), 1, Integer::sum);
          answered++;
        }
        if (isTroubled) {
          sentAt = System.currentTimeMillis();
          Thread writer = new Thread(() -> write(client, requests.toString()));
          writer.setDaemon(true);
          writer.start();
          while (answered < REQUESTS) {
            long leftMillis = sentAt + TIMEOUT_MILLIS + 500 - System.currentTimeMillis();
            if (leftMillis <= 0) {
              break;
            }
            Client.Answer answer;
            try {
              answer = client.read((int) leftMillis);
            } catch (java.net.SocketTimeoutException e) {
              break;
            }
            if (answer == null) {
              deployment.note("the connection was closed");
              break;
            }
            statuses.merge(answer.status(), 1, Integer::sum);
            answered++;
            if (System.currentTimeMillis() - sentAt > TIMEOUT_MILLIS) {
              late++;
            }
          }
        }
        long millis = System.currentTimeMillis() - sentAt;
        deployment.note(
            "burst " + burst + ": " + REQUESTS + " requests sent, " + answered + " answered "
                + statuses + " within " + millis + " ms");
        unanswered = REQUESTS - answered;
        if (unanswered > 0) {
          List<String> missing = ids.subList(answered, REQUESTS);
          long runCount = missing.stream().filter(run::contains).count();
          deployment.note(
              "unanswered half a second after the timeout: " + missing.get(0) + " to "
                  + missing.get(missing.size() - 1) + ", " + runCount + " of them were run");
          noteWhatFollows(client);
        }
        Thread.sleep(200);
      }
    }
    deployment.note(
        "unanswered at the timeout: " + (late + unanswered) + ", half a second later: "
            + unanswered + "; readiness " + vm.readiness());
    return unanswered * 2 <= late + unanswered;
  }

  /** Waits ten seconds more for any byte, for the record. */
  private void noteWhatFollows(Client client) {
    try {
      Client.Answer answer = client.read(10_000);
      deployment.note("later: " + (answer == null ? "closed" : answer.head().firstLine()));
    } catch (IOException e) {
      deployment.note("nothing more in 10 s: " + e.getMessage());
    }
  }

  private void write(Client client, String requests) {
    try {
      client.write(requests);
    } catch (IOException e) {
      deployment.note("the requests could not be written: " + e);
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
    run.add(id);
    Thread.sleep(head.target().contains("long") ? 1_000 : 5);
    Server.respond(
        out,
        200,
        "OK",
        "Request-Id: " + id + "\r\nServer-Seal: 3e1b.07.5a2.2.0.c9f2a4d1\r\nServer-Load: 1,0,9\r\n",
        "ok".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
    return true;
  }
}
