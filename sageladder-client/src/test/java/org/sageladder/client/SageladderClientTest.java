package org.sageladder.client;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sageladder.core.result.ResultCode;

/** Tests the client against two entry VMs whose responses are scripted by each test. */
class SageladderClientTest {
  private static final String OK = "Sageladder-Result: 0 OK\r\nSageladder-Outcome: ran\r\n";
  private static final String TRUNCATED_RESPONSE =
      "HTTP/1.1 200 OK\r\n" + OK + "Content-Length: 100\r\n\r\nonly this";

  private ScriptedEntry firstEntry;
  private ScriptedEntry secondEntry;
  private SageladderClient client;

  @BeforeEach
  void start() throws IOException {
    firstEntry = ScriptedEntry.start();
    secondEntry = ScriptedEntry.start();
    client = SageladderClient.start(ClientOptions.seeds(List.of(firstEntry.address())));
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    firstEntry.close();
    secondEntry.close();
  }

  private String route(int ttlMillis, String permit) {
    String json =
        "{\"revision\":3,\"ttlMillis\":"
            + ttlMillis
            + ",\"entries\":[{\"address\":\""
            + firstEntry.address()
            + "\"},{\"address\":\""
            + secondEntry.address()
            + "\"}]"
            + (permit.isEmpty() ? "" : ",\"permit\":\"" + permit + "\"")
            + "}";
    return ScriptedEntry.response(200, OK, json);
  }

  private static String entryVmResult(ResultCode code, String extraHeaders) {
    String result = "Sageladder-Result: " + code.number() + " " + code + "\r\n" + extraHeaders;
    return ScriptedEntry.response(code.httpStatus(), result, "{\"detail\":\"why\"}");
  }

  private static boolean isLookUp(String head) {
    return head.startsWith("GET /v1/look-up");
  }

  private static Request search() {
    return Request.get("kannelkoda", "search", 4, "/lyrics?q=regilaul")
        .deadline(Duration.ofSeconds(20));
  }

  private static Request bid() {
    byte[] body = "bid".getBytes(StandardCharsets.UTF_8);
    return Request.post("kalnins-dauge", "bid", 4, "/bids", body, "text/plain")
        .deadline(Duration.ofSeconds(20));
  }

  private static String permitOf(String head) {
    return head.lines()
        .filter(line -> line.startsWith("Sageladder-Permit: "))
        .map(line -> line.substring(19))
        .findFirst()
        .orElse("none");
  }

  @Test
  void lookUpIsCachedForItsTimeToLive() {
    firstEntry.useScript(
        head -> isLookUp(head) ? route(60_000, "") : ScriptedEntry.response(200, OK, "song"));
    Answer.Complete first = assertInstanceOf(Answer.Complete.class, client.send(search()));
    assertInstanceOf(Answer.Complete.class, client.send(search()));
    assertArrayEquals("song".getBytes(StandardCharsets.UTF_8), first.body());
    assertEquals(1, firstEntry.lookUpCount());
    assertTrue(
        firstEntry.requests().get(0).startsWith("GET /v1/request/kannelkoda/search/lyrics?q="));
    assertTrue(firstEntry.requests().get(0).contains("Sageladder-Deadline-Millis: "));
  }

  @Test
  void expiredLookUpIsRepeated() {
    firstEntry.useScript(
        head -> isLookUp(head) ? route(0, "") : ScriptedEntry.response(200, OK, "song"));
    client.send(search());
    client.send(search());
    assertEquals(2, firstEntry.lookUpCount());
  }

  // Callers kept using a cached route to an entry VM that was being stopped, so that it had to keep
  // serving for three more seconds before it could end.
  @Test
  void lookUpNamingDrainingEntryVmIsRepeated() {
    String drainingHeaders = OK + "Sageladder-Look-Up-Again: true\r\n";
    firstEntry.useScript(
        head ->
            isLookUp(head)
                ? route(60_000, "")
                : ScriptedEntry.response(200, drainingHeaders, "song"));
    client.send(search());
    client.send(search());
    assertEquals(2, firstEntry.lookUpCount());
  }

  // The connection ends after 9 of 100 bytes. The truncated response must not be returned as
  // complete; the request must be retried at the next entry VM.
  @Test
  void truncatedResponseIsRetriedAtNextEntryVm() {
    firstEntry.useScript(head -> isLookUp(head) ? route(60_000, "") : TRUNCATED_RESPONSE);
    secondEntry.useScript(head -> ScriptedEntry.response(200, OK, "whole song"));
    Answer.Complete complete = assertInstanceOf(Answer.Complete.class, client.send(search()));
    assertEquals("whole song", new String(complete.body(), StandardCharsets.UTF_8));
    assertEquals(2, complete.attemptCount());
  }

  @Test
  void closeDelimitedResponseIsNotComplete() {
    firstEntry.useScript(
        head ->
            isLookUp(head)
                ? route(60_000, "")
                : "HTTP/1.1 200 OK\r\n" + OK + "Connection: close\r\n\r\nperhaps all");
    secondEntry.useScript(head -> ScriptedEntry.response(200, OK, "all"));
    Answer.Complete complete = assertInstanceOf(Answer.Complete.class, client.send(search()));
    assertEquals("all", new String(complete.body(), StandardCharsets.UTF_8));
  }

  @Test
  void sinkIsRestartedBeforeSecondAttempt() {
    firstEntry.useScript(head -> isLookUp(head) ? route(60_000, "") : TRUNCATED_RESPONSE);
    secondEntry.useScript(head -> ScriptedEntry.response(200, OK, "whole song"));
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    Answer answer =
        client.send(
            search(),
            new BodySink() {
              @Override
              public void begin() {
                received.reset();
              }

              @Override
              public void accept(ByteBuffer piece) {
                byte[] bytes = new byte[piece.remaining()];
                piece.get(bytes);
                received.writeBytes(bytes);
              }
            });
    assertInstanceOf(Answer.Complete.class, answer);
    assertEquals("whole song", received.toString(StandardCharsets.UTF_8));
  }

  // The entry VM that accepted a bid fails before it responds. The client must query the next entry
  // VM under the same permit; under another one the bid could run a second time.
  @Test
  void lostRequestIsResentUnderSamePermit() {
    firstEntry.useScript(head -> isLookUp(head) ? route(60_000, "p-1") : "");
    secondEntry.useScript(head -> entryVmResult(ResultCode.ANSWER_NOT_KEPT, ""));
    Answer answer = client.send(bid());
    assertInstanceOf(Answer.RanAnswerUnavailable.class, answer);
    assertEquals("p-1", permitOf(firstEntry.requests().get(0)));
    assertEquals(
        List.of("p-1"),
        secondEntry.requests().stream().map(SageladderClientTest::permitOf).toList());
    assertEquals(1, firstEntry.lookUpCount());
  }

  @Test
  void unknownOutcomeContainsPermitToResumeWith() {
    firstEntry.useScript(head -> isLookUp(head) ? route(60_000, "p-1") : "");
    secondEntry.useScript(head -> entryVmResult(ResultCode.OUTCOME_UNKNOWN, ""));
    Answer.Unknown unknown = assertInstanceOf(Answer.Unknown.class, client.send(bid()));
    assertEquals("p-1", unknown.permit());
    secondEntry.useScript(head -> entryVmResult(ResultCode.ANSWER_NOT_KEPT, ""));
    assertInstanceOf(Answer.RanAnswerUnavailable.class, client.resume(bid(), unknown.permit()));
  }

  // A request refused at a full queue waited for the retry-after time and returned to the same
  // queue, to be refused again, while the next entry VM of its route had capacity. The refused
  // permit is used up, so the next entry VM must issue its own.
  @Test
  void refusedRequestIsSentToNextEntryVmAtOnceWithNewPermit() {
    firstEntry.useScript(
        head ->
            isLookUp(head)
                ? route(60_000, "p-1")
                : entryVmResult(ResultCode.SHIFT_CAP, "Sageladder-Retry-After-Millis: 600000\r\n"));
    secondEntry.useScript(
        head ->
            permitOf(head).equals("p-2")
                ? ScriptedEntry.response(201, OK, "bid taken")
                : entryVmResult(ResultCode.PERMIT_REQUIRED, "Sageladder-Permit: p-2\r\n"));
    Answer.Complete complete = assertInstanceOf(Answer.Complete.class, client.send(bid()));
    assertEquals(201, complete.status());
    assertEquals(List.of("p-1"), permitsOf(firstEntry));
    assertEquals(List.of("none", "p-2"), permitsOf(secondEntry));
    assertEquals(1, firstEntry.lookUpCount());
  }

  // Both entry VMs of the route refuse, each with a retry-after time. An immediate retry would only
  // be refused again; the client waits and then repeats the look-up, which also returns a new
  // permit.
  @Test
  void requestRefusedByBothEntryVmsWaitsAndRepeatsLookUp() {
    int[] lookUps = {0};
    firstEntry.useScript(
        head -> {
          if (isLookUp(head)) {
            lookUps[0]++;
            return route(60_000, "p-" + lookUps[0]);
          }
          return permitOf(head).equals("p-1")
              ? entryVmResult(ResultCode.QUEUE_FULL, "Sageladder-Retry-After-Millis: 1\r\n")
              : ScriptedEntry.response(201, OK, "bid taken");
        });
    secondEntry.useScript(
        head -> entryVmResult(ResultCode.QUEUE_FULL, "Sageladder-Retry-After-Millis: 1\r\n"));
    Answer.Complete complete = assertInstanceOf(Answer.Complete.class, client.send(bid()));
    assertEquals(201, complete.status());
    assertEquals(List.of("p-1", "p-2"), permitsOf(firstEntry));
    assertEquals(List.of("none"), permitsOf(secondEntry));
  }

  private static List<String> permitsOf(ScriptedEntry entry) {
    return entry.requests().stream().map(SageladderClientTest::permitOf).toList();
  }

  // One of six entry VMs fails. Until the cached routes to it have expired, every sixth request
  // first tries it and is refused a connection. If these attempts counted as retries, they would
  // use up the retry budget of all other requests, which would then end with NO_TARGET although
  // five entry VMs are available.
  @Test
  void unreachableEntryVmDoesNotUseRetryBudget() throws IOException {
    client.close();
    client =
        SageladderClient.start(
            ClientOptions.seeds(List.of(secondEntry.address())).retryFraction(0));
    secondEntry.useScript(
        head -> isLookUp(head) ? route(60_000, "") : ScriptedEntry.response(200, OK, "song"));
    firstEntry.close();
    for (int i = 0; i < 3; i++) {
      assertInstanceOf(Answer.Complete.class, client.send(search()));
    }
  }

  // A request may queue for longer than a connection may take to open. The HTTP library applies the
  // connect timeout to each later silence as well, so the client timed out requests that were still
  // in progress and reported an unknown outcome.
  @Test
  void responseMayTakeLongerThanConnectTimeout() {
    client.close();
    client =
        SageladderClient.start(
            new ClientOptions(
                List.of(firstEntry.address()), Duration.ofSeconds(1), 0.9, 1, 0, 4, 1 << 20));
    firstEntry.useScript(
        head -> {
          if (isLookUp(head)) {
            return route(60_000, "");
          }
          sleep(Duration.ofSeconds(3));
          return ScriptedEntry.response(200, OK, "song");
        });
    assertInstanceOf(Answer.Complete.class, client.send(search()));
  }

  private static void sleep(Duration duration) {
    try {
      Thread.sleep(duration.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // A look-up that names another entry VM returns no permit, so the first attempt is answered with
  // one. If this counted as a retry, it would use up the budget: with retries limited to one
  // request in five, the other four would end with PERMIT_REQUIRED.
  @Test
  void permitRequestIsNoRetryAndPermitIsUsedAtItsIssuer() {
    client.close();
    client =
        SageladderClient.start(ClientOptions.seeds(List.of(firstEntry.address())).retryFraction(0));
    firstEntry.useScript(
        head -> {
          if (isLookUp(head)) {
            return route(60_000, "");
          }
          return permitOf(head).equals("none")
              ? entryVmResult(ResultCode.PERMIT_REQUIRED, "Sageladder-Permit: fresh\r\n")
              : ScriptedEntry.response(200, OK, "taken");
        });
    secondEntry.useScript(head -> entryVmResult(ResultCode.HOME_LOST, ""));
    for (int i = 0; i < 3; i++) {
      assertInstanceOf(Answer.Complete.class, client.send(bid()));
    }
    assertEquals(0, secondEntry.requests().size());
  }

  // After half of the remaining time the client moves to the next entry VM. The first one, which
  // had received only the deadline, gave the request a slot just then, and its run was aborted.
  // Each request was started and aborted several times, and its outcome was reported as unknown.
  @Test
  void attemptTimeoutIsSentToEntryVm() {
    firstEntry.useScript(
        head -> isLookUp(head) ? route(60_000, "") : ScriptedEntry.response(200, OK, "song"));
    client.send(search());
    String head = firstEntry.requests().get(0);
    assertTrue(headerNumber(head, "Sageladder-Try-Millis: ") <= 10_000, head);
    assertTrue(headerNumber(head, "Sageladder-Deadline-Millis: ") > 10_000, head);
  }

  private static long headerNumber(String head, String header) {
    return head.lines()
        .filter(line -> line.startsWith(header))
        .mapToLong(line -> Long.parseLong(line.substring(header.length())))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void unknownServiceIsNotRetried() {
    firstEntry.useScript(head -> entryVmResult(ResultCode.UNKNOWN_SERVICE, ""));
    Answer.NotRun notRun = assertInstanceOf(Answer.NotRun.class, client.send(search()));
    assertEquals(ResultCode.UNKNOWN_SERVICE, notRun.code());
    assertTrue(notRun.detail().contains("why"), notRun.detail());
  }

  @Test
  void responseWithoutResultHeaderIsRejected() {
    firstEntry.useScript(
        head ->
            isLookUp(head) ? route(60_000, "") : ScriptedEntry.response(200, "", "captive portal"));
    secondEntry.useScript(head -> "");
    Answer answer = client.send(search());
    assertFalse(answer instanceof Answer.Complete, answer.toString());
  }

  @Test
  void retryBudgetLimitsAttempts() {
    try (SageladderClient clientWithoutRetries =
        SageladderClient.start(
            ClientOptions.seeds(List.of(firstEntry.address())).retryFraction(0))) {
      firstEntry.useScript(
          head -> isLookUp(head) ? route(60_000, "") : entryVmResult(ResultCode.QUEUE_FULL, ""));
      secondEntry.useScript(head -> entryVmResult(ResultCode.QUEUE_FULL, ""));
      Answer.NotRun notRun =
          assertInstanceOf(Answer.NotRun.class, clientWithoutRetries.send(search()));
      assertEquals(1, notRun.attemptCount());
    }
  }
}
