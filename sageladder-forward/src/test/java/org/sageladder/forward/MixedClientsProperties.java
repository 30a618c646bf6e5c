package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.statistics.Statistics;
import org.sageladder.core.result.ResultCode;
import org.sageladder.forward.ForwardingFixture.Caller;
import org.sageladder.forward.ForwardingFixture.Response;

/**
 * Guards against random mixtures of clients that hold memory: the account keeps its limit and ends
 * at zero, an ordinary request is answered, and no request that was refused has reached a target.
 */
class MixedClientsProperties {
  private static final long MAX_BYTES = 400_000;

  /** Larger than the part of a response that a client may leave unread. */
  private static final String RESPONSE = "x".repeat(20_000);

  private static final int RESPONSE_TIMEOUT_MILLIS = 200;

  @Property(tries = 12, seed = "20261207", shrinking = ShrinkingMode.OFF)
  void limitHoldsAndRefusalsAreTrue(
      @ForAll @Size(min = 10, max = 40) List<@IntRange(max = 5) Integer> kinds) throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond(RESPONSE));
    List<Caller> clients = new ArrayList<>();
    try (ForwardingFixture fixture = ForwardingFixture.open(target)) {
      fixture.onLoop(() -> fixture.forwarder.heldMemory().updateLimit(MAX_BYTES));
      for (int i = 0; i < kinds.size(); i++) {
        Caller client = fixture.caller();
        clients.add(client);
        send(client, kinds.get(i), i);
        assertTrue(heldBytes(fixture) <= MAX_BYTES);
      }
      assertAnswersOrdinaryRequest(fixture);
      int refusedCount = 0;
      for (int i = 0; i < clients.size(); i++) {
        if (isRefused(clients.get(i))) {
          refusedCount++;
          String path = "/once/" + i;
          assertTrue(
              target.receivedRequests.stream().noneMatch(request -> request.path().equals(path)));
        }
        clients.get(i).close();
      }
      Statistics.label("with refusals").collect(refusedCount > 0);
      Statistics.label("with disconnected clients")
          .collect(fixture.metrics.text().contains("connections_evicted"));
      while (heldBytes(fixture) > 0) {
        Thread.sleep(10);
      }
      assertEquals(0, fixture.inFlightCount());
    }
  }

  private static void send(Caller client, int kind, int number) {
    String start = " /once/" + number + " HTTP/1.1\r\nHost: h\r\nId: i-" + number + "\r\n";
    String post = "POST" + start + "Transfer-Encoding: chunked\r\n\r\n";
    try {
      switch (kind) {
        case 0 -> client.write("GET" + start + "a:\r\n".repeat(450));
        case 1 -> client.write("POST" + start + "Content-Length: 65000\r\n\r\n" + RESPONSE);
        case 2 -> client.write(post + "1\r\nx\r\n".repeat(10_000));
        case 3 -> client.write(post + "0\r\n" + "a:\r\n".repeat(450));
        case 4 -> client.write(post + ("8000\r\n" + "x".repeat(0x8000) + "\r\n").repeat(3));
        default -> client.write(("GET" + start + "\r\n").repeat(30));
      }
    } catch (IOException e) {
      // The client was disconnected while it was sending.
    }
  }

  /** Bytes held once the forwarder has ended connections beyond the limit. */
  private static long heldBytes(ForwardingFixture fixture) throws Exception {
    AtomicLong bytes = new AtomicLong();
    fixture.onLoop(
        () -> {
          fixture.forwarder.heldMemory().relieve();
          bytes.set(fixture.forwarder.heldMemory().bytes());
        });
    return bytes.get();
  }

  private static void assertAnswersOrdinaryRequest(ForwardingFixture fixture) throws Exception {
    int status = 0;
    while (status != 200) {
      try (Caller ordinary = fixture.caller()) {
        status = ordinary.exchange("/safe/ordinary", "ordinary").status();
      }
    }
  }

  /** True if the first response that has arrived is a refusal for lack of memory. */
  private static boolean isRefused(Caller client) {
    try {
      client.setReadTimeout(RESPONSE_TIMEOUT_MILLIS);
      Response response = Response.ofHead(client.readHead());
      String code = Integer.toString(ResultCode.MEMORY_SHORT.number());
      return response.header("sageladder-result").equals(code);
    } catch (IOException e) {
      // No response, or the client was disconnected.
      return false;
    }
  }
}
