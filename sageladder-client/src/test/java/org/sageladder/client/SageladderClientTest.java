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

/** The client against two entry VMs that say and do what each test names. */
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

  private static String entryVmResult(ResultCode code, String more) {
    String result = "Sageladder-Result: " + code.number() + " " + code + "\r\n" + more;
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

  // An entry VM is stopped for maintenance. It had to serve for three seconds more, since callers
  // came by look-ups they had kept; the archivist's maintenance window went into waiting.
  @Test
  void lookUpNamingDrainingEntryVmIsRepeated() {
    String leaving = OK + "Sageladder-Look-Up-Again: true\r\n";
    firstEntry.useScript(
        head -> isLookUp(head) ? route(60_000, "") : ScriptedEntry.response(200, leaving, "song"));
    client.send(search());
    client.send(search());
    assertEquals(2, firstEntry.lookUpCount());
  }

  // A recording is cut short on its way: the connection ends after nine of a hundred bytes. Passed
  // on as an answer, a researcher would keep half a song; it must be fetched again instead.
  @Test
  void truncatedResponseIsRetriedAtNextEntryVm() {
    firstEntry.useScript(head -> isLookUp(head) ? route(60_000, "") : TRUNCATED_RESPONSE);
    secondEntry.useScript(head -> ScriptedEntry.response(200, OK, "whole song"));
    Answer.Complete whole = assertInstanceOf(Answer.Complete.class, client.send(search()));
    assertEquals("whole song", new String(whole.body(), StandardCharsets.UTF_8));
    assertEquals(2, whole.attemptCount());
  }

  @Test
  void closeDelimitedResponseIsNotComplete() {
    firstEntry.useScript(
        head ->
            isLookUp(head)
                ? route(60_000, "")
                : "HTTP/1.1 200 OK\r\n" + OK + "Connection: close\r\n\r\nperhaps all");
    secondEntry.useScript(head -> ScriptedEntry.response(200, OK, "all"));
    Answer.Complete whole = assertInstanceOf(Answer.Complete.class, client.send(search()));
    assertEquals("all", new String(whole.body(), StandardCharsets.UTF_8));
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

  // The entry VM that took a bid dies before it answers. The dealer's program must ask the next
  // one with the very same permit: under another one the bid could run a second time.
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

  // Bids surge toward one lot. A dealer's bid waited at a full gate, was refused, waited for as
  // long
  // as it was told, and came back to the same gate, to be refused once more; the next entry VM of
  // its look-up had room all the while. The refused permit is used up, so the next one gives its
  // own.
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
    Answer.Complete whole = assertInstanceOf(Answer.Complete.class, client.send(bid()));
    assertEquals(201, whole.status());
    assertEquals(List.of("p-1"), permitsOf(firstEntry));
    assertEquals(List.of("none", "p-2"), permitsOf(secondEntry));
    assertEquals(1, firstEntry.lookUpCount());
  }

  // Both entry VMs of the look-up refuse, so both have said when to come back. Asked again at once
  // they would only refuse again; the library waits and looks up anew, for a permit too.
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
    Answer.Complete whole = assertInstanceOf(Answer.Complete.class, client.send(bid()));
    assertEquals(201, whole.status());
    assertEquals(List.of("p-1", "p-2"), permitsOf(firstEntry));
    assertEquals(List.of("none"), permitsOf(secondEntry));
  }

  private static List<String> permitsOf(ScriptedEntry entry) {
    return entry.requests().stream().map(SageladderClientTest::permitOf).toList();
  }

  // One of six entry VMs dies. Until the kept answers that name it have expired, every sixth
  // listing
  // meets a refused connection first. Counted as retries these spend the budget of all others, and
  // collectors are told "no target" though five entry VMs wait for them.
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

  // A donation waits its turn for longer than a connection may take to open. The HTTP library keeps
  // that time as a limit on each later silence, so the client gave up on work that was going well
  // and the archivist was told "unknown".
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

  private static void sleep(Duration span) {
    try {
      Thread.sleep(span.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // A look-up names another entry VM and so brings no permit; each bid's first try is answered with
  // the permit to use. Counted as a retry it would spend the budget, and with one bid in five
  // allowed a retry, the other four dealers would be told "permit required" and give up.
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

  // A researcher's export waits for a slot. After half of its time the library leaves for the next
  // entry VM; the first one, told of the whole time, gave the slot just then and saw the work cut.
  // Each export was begun and thrown away several times, and its caller was told "unknown".
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
    try (SageladderClient thrifty =
        SageladderClient.start(
            ClientOptions.seeds(List.of(firstEntry.address())).retryFraction(0))) {
      firstEntry.useScript(
          head -> isLookUp(head) ? route(60_000, "") : entryVmResult(ResultCode.QUEUE_FULL, ""));
      secondEntry.useScript(head -> entryVmResult(ResultCode.QUEUE_FULL, ""));
      Answer.NotRun notRun = assertInstanceOf(Answer.NotRun.class, thrifty.send(search()));
      assertEquals(1, notRun.attemptCount());
    }
  }
}
