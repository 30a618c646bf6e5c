package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client sends requests whose body looks like another request, and names {@code Content-Length}
 * in {@code Connection}. Fails if a backend runs a request whose id no client sent.
 */
final class SmuggledRequest {
  private static final String SERVICE = "wuno96b";
  private static final int REQUESTS = 20;

  private final Deployment deployment;
  private final Set<String> sent = ConcurrentHashMap.newKeySet();
  private final List<String> violations = new ArrayList<>();
  private int runs;

  private SmuggledRequest(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] arguments) {
    Map<String, String> zones = new LinkedHashMap<>();
    zones.put("riga-old-town", "riga");
    zones.put("riga-agenskalns", "riga");
    Case.run(
        arguments,
        zones,
        (deployment, isTroubled) -> new SmuggledRequest(deployment).run(isTroubled));
  }

  private boolean run(boolean isTroubled) throws Exception {
    deployment.addService(SERVICE);
    deployment.addRoute("r-bid", "/xapu221/", "unsafe", SERVICE, 4_000);
    deployment.publish(1);
    for (int i = 1; i <= 4; i++) {
      String zone = i % 2 == 0 ? "riga-old-town" : "riga-agenskalns";
      deployment.addBackend("i-" + i, SERVICE, zone, 3, this::work);
    }
    List<Deployment.Vm> vms =
        List.of(
            deployment.addVm("front-a-1", "127.0.0.11", "riga-old-town"),
            deployment.addVm("front-b-1", "127.0.0.12", "riga-agenskalns"));
    for (Deployment.Vm vm : vms) {
      vm.start();
    }
    deployment.awaitReady();
    int answered = 0;
    for (int i = 0; i < REQUESTS; i++) {
      answered += send(vms.get(i % 2), isTroubled) ? 1 : 0;
      Thread.sleep(300);
    }
    deployment.note(REQUESTS + " requests sent, " + answered + " answered 200, " + runs + " run");
    violations.forEach(each -> deployment.note("BROKEN " + each));
    if (answered == 0) {
      throw new Deployment.Unusable("no request was served");
    }
    return violations.isEmpty();
  }

  private boolean send(Deployment.Vm vm, boolean isTroubled) throws IOException {
    String id = Long.toHexString(new Random().nextLong());
    sent.add(id);
    String body =
        "POST /xapu221/hidden HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nRequest-Id: hidden-in-"
            + id + "\r\nContent-Length: 0\r\n\r\n";
    String connection = isTroubled ? "keep-alive, Content-Length" : "keep-alive";
    try (Client client = new Client(vm.ip, vm.callersPort())) {
      client.write(
          Client.head(
                  "POST",
                  "/xapu221/2f",
                  id,
                  4_000,
                  "Connection: " + connection + "\r\nContent-Length: " + body.length() + "\r\n")
              + body);
      Client.Answer answer = client.read(6_000);
      deployment.note(
          "sent " + id + " to " + vm.name + " with a body of " + body.length() + " bytes: "
              + (answer == null ? "closed" : answer.head().firstLine()));
      return answer != null && answer.status() == 200;
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
    String text =
        "run of " + id + ", " + head.firstLine() + ", body of " + body.bytes().length + " bytes, at "
            + backend.id;
    deployment.note(text);
    synchronized (this) {
      runs++;
      if (id == null || !sent.contains(id)) {
        violations.add("UNASKED: " + text + "; no client sent this id");
      }
    }
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
