package org.sageladder.standin.platform;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.forward.Loop;

/**
 * One incarnation of a target with slots, a queue, an object cache, a cold start and faults.
 *
 * <p>The last segment of a request's path is its mean run time in milliseconds, as in {@code
 * /lots/640}. A path that contains {@code poison} crashes the target that runs it.
 */
public final class TargetStandIn {
  /** Faults of a target's answers. */
  public enum Fault {
    /** No fault. */
    NONE,
    /** Runs the request and resets the connection without an answer. */
    LOSES_ANSWER,
    /** Closes the connection in the middle of the answer. */
    CUTS_ANSWER,
    /** Sends bytes that are not an HTTP response. */
    SPOILS_ANSWER,
    /** Sends a second answer after the first. */
    ANSWERS_TWICE,
    /** Answers without a length; closing the connection ends the answer. */
    UNFRAMED,
    /** Answers with status 500. */
    FAILS,
    /** Closes the connection within the head of the answer. */
    CUTS_HEAD,
    /**
     * Sends a second answer later: on the idle connection, as the next request has come, or just
     * before its answer. Behind this and the faults below every second request of the connection
     * fails with status 500.
     */
    ANSWERS_TWICE_LATE,
    /** Sends a part of a second answer, and the rest never, before or behind the next answer. */
    ANSWERS_TWICE_IN_PIECES,
    /** Sends a part of a second answer later and closes the connection. */
    ANSWERS_TWICE_CUT,
    /** Sends a second answer in which a byte is wrong, with the answer or later. */
    ANSWERS_TWICE_SPOILT,
    /** Sends a second answer without an id, with the answer or later. */
    ANSWERS_TWICE_WITHOUT_ID,
    /** Sends bytes that are no answer behind a complete one, with it or later. */
    ADDS_BYTES,
    /** Sends a whole answer whose status is no HTTP status. */
    INVALID_STATUS,
    /** Sends a whole answer with a header whose name holds whitespace or a control character. */
    INVALID_HEADER
  }

  private static final double COLD_SERVICE_TIME_FACTOR = 2;
  private static final double SERVICE_TIME_JITTER_FRACTION = 0.15;

  /** A cold target crashes when arrivals exceed its cold rate by this factor. */
  private static final double CRASH_RATE_FACTOR = 4;

  private static final long SECOND_MILLIS = 1_000;

  /** Time within which a change in the store reaches connected entry VMs. */
  private static final long PROPAGATION_MILLIS = 1_000;

  /** Time from the start of a run that crashes the target to the crash. */
  private static final long CRASH_DELAY_MILLIS = 90;

  private static final int USUAL_RUN_PERCENT = 100;
  private static final int UNAVAILABLE = 503;
  private static final int PADDING_LENGTH = 400;

  private static final class Job {
    final String id;
    final String object;
    final String path;
    final long meanServiceMillis;
    final long deadlineMillis;
    final ServerPort.Exchange exchange;
    Ledger.@Nullable Run run;
    boolean hasCallerLeft;

    Job(String id, String object, String path, long deadlineMillis, ServerPort.Exchange exchange) {
      this.id = id;
      this.object = object;
      this.path = path;
      this.meanServiceMillis = parseServiceMillis(path);
      this.deadlineMillis = deadlineMillis;
      this.exchange = exchange;
    }
  }

  private final Loop loop;
  private final TargetFacts facts;
  private final TargetTraits traits;
  private final Ledger ledger;
  private final Random random;
  private final UnsolicitedAnswers unsolicited;
  private final MalformedHeads malformedHeads;
  private final Runnable crashProcess;
  private final Deque<Job> queue = new ArrayDeque<>();
  private final Set<Job> running = new LinkedHashSet<>();
  private final Map<String, Boolean> cachedObjects = new LinkedHashMap<>(32, 0.75f, true);
  private final Deque<Long> coldArrivals = new ArrayDeque<>();
  private long coldUntilMillis;
  private long coldKnownAtMillis = -1;
  private double serviceTimeFactor = 1;
  private double interferenceFactor = 1;
  private double longRunFraction;
  private double longRunFactor = 1;
  private Fault fault = Fault.NONE;
  private double faultFraction;
  private boolean isDraining;
  private double rateLimitPerSecond = Double.POSITIVE_INFINITY;
  private long backOffMillis;

  private TargetStandIn(
      Loop loop,
      TargetFacts facts,
      TargetTraits traits,
      Ledger ledger,
      long seed,
      Runnable crashProcess) {
    this.loop = loop;
    this.facts = facts;
    this.traits = traits;
    this.ledger = ledger;
    this.random = new Random(seed ^ facts.id().hashCode());
    this.unsolicited = new UnsolicitedAnswers(loop, ~seed ^ facts.id().hashCode());
    this.malformedHeads = new MalformedHeads(seed + facts.id().hashCode());
    this.crashProcess = crashProcess;
    this.coldUntilMillis = loop.nowMillis() + facts.remainingColdMillis();
    this.coldKnownAtMillis = loop.nowMillis();
  }

  /**
   * Starts a target on its port.
   *
   * @param facts facts that the target reports; entry VMs are assumed to know from the start how
   *     long it is cold
   * @param crashProcess ends the target's process
   */
  public static TargetStandIn start(
      Loop loop,
      TargetFacts facts,
      TargetTraits traits,
      Ledger ledger,
      long seed,
      Runnable crashProcess,
      ServerPort.OpenListener onOpen) {
    TargetStandIn target = new TargetStandIn(loop, facts, traits, ledger, seed, crashProcess);
    if (traits.interference().isPresent()) {
      target.changeInterference();
    }
    ServerPort.open(
        loop,
        facts.host(),
        facts.port(),
        (request, exchange) -> target.handle(request, exchange),
        onOpen);
    return target;
  }

  /** Returns the facts that the target reports now. */
  public TargetFacts facts() {
    TargetFacts current = isDraining ? facts.asDraining() : facts;
    return current.coldFor(Math.max(0, coldUntilMillis - loop.nowMillis()));
  }

  /** Sets the factor that is applied to run times. */
  public void setServiceTimeFactor(double factor) {
    serviceTimeFactor = factor;
  }

  private void changeInterference() {
    TargetTraits.Interference interference = traits.interference();
    interferenceFactor = random.nextDouble() < interference.fraction() ? interference.factor() : 1;
    long nextMillis = Math.round(-Math.log(1 - random.nextDouble()) * interference.periodMillis());
    var unused = loop.schedule(1 + nextMillis, this::changeInterference);
  }

  /** Makes {@code fraction} of the runs, drawn at random, last {@code factor} times as long. */
  public void setLongRuns(double fraction, double factor) {
    longRunFraction = fraction;
    longRunFactor = factor;
  }

  /** Injects a fault into {@code fraction} of the answers. */
  public void setFault(Fault newFault, double fraction) {
    fault = newFault;
    faultFraction = fraction;
  }

  /**
   * States in all answers from now on that all entry VMs together may send {@code perSecond}
   * requests; infinite to state no limit.
   */
  public void setRateLimit(double perSecond) {
    ledger.endRateLimit(facts.incarnation().toString(), loop.nowMillis());
    if (Double.isFinite(perSecond)) {
      ledger.startRateLimit(facts.incarnation().toString(), perSecond, loop.nowMillis());
    }
    rateLimitPerSecond = perSecond;
  }

  /**
   * Refuses all requests from now on and asks each sender for no requests for {@code millis}; 0 to
   * accept requests again.
   */
  public void setBackOff(long millis) {
    backOffMillis = millis;
  }

  /** Records that a request is answered with the headers of {@link #signalHeaders}. */
  private void recordSignals(ServerPort.Exchange exchange, String id) {
    if (Double.isFinite(rateLimitPerSecond)) {
      ledger.recordRateLimitAnswer(facts.incarnation().toString(), exchange.callerIp(), id);
    }
    if (isDraining) {
      ledger.recordDrainingAnswer(
          new Ledger.DrainingAnswer(facts.incarnation().toString(), exchange.callerIp(), id));
    }
  }

  private Map<String, String> signalHeaders() {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Server-Load", loadHeader());
    if (Double.isFinite(rateLimitPerSecond)) {
      headers.put("Server-Limit", Double.toString(rateLimitPerSecond));
    }
    if (isDraining) {
      headers.put("Server-Leaving", "1");
    }
    return headers;
  }

  /** Clears the cache and starts a cold phase, as after a start. */
  public void becomeCold() {
    cachedObjects.clear();
    coldUntilMillis = loop.nowMillis() + traits.coldMillis();
    coldKnownAtMillis = -1;
  }

  /** Called when the store has the current {@link #facts}; entry VMs learn them a while later. */
  public void onFactsStored() {
    if (isCold() && coldKnownAtMillis < 0) {
      coldKnownAtMillis = loop.nowMillis() + PROPAGATION_MILLIS;
    }
  }

  /** Returns whether the target is cold and connected entry VMs can know it. */
  private boolean isKnownCold() {
    return isCold() && coldKnownAtMillis >= 0 && loop.nowMillis() >= coldKnownAtMillis;
  }

  /** Reports the target as draining; it continues to serve. */
  public void startDraining() {
    isDraining = true;
  }

  private boolean isCold() {
    return loop.nowMillis() < coldUntilMillis;
  }

  private static long parseServiceMillis(String path) {
    String pathOnly = path.contains("?") ? path.substring(0, path.indexOf('?')) : path;
    String lastSegment = pathOnly.substring(pathOnly.lastIndexOf('/') + 1);
    return lastSegment.chars().allMatch(Character::isDigit) && !lastSegment.isEmpty()
        ? Long.parseLong(lastSegment)
        : 10;
  }

  private void handle(FullHttpRequest request, ServerPort.Exchange exchange) {
    HttpHeaders headers = request.headers();
    if (request.uri().equals("/health")) {
      answer(exchange, isDraining ? 503 : 200, Map.of("Instance-Id", facts.id()), "");
      return;
    }
    String id = headers.get("Request-Id", "");
    long remainingMillis = Long.parseLong(headers.get("Request-Deadline", "-1"));
    boolean isOther = !headers.get("Expected-Instance", facts.id()).equals(facts.id());
    boolean isFull =
        backOffMillis > 0
            || (running.size() >= traits.slots() && queue.size() >= traits.maxQueueLength());
    Ledger.Fate ownFate = isFull ? Ledger.Fate.REFUSED : Ledger.Fate.TAKEN;
    Ledger.Fate fate = isOther ? Ledger.Fate.OTHER_TARGET : ownFate;
    recordArrival(request, id, remainingMillis, exchange, fate);
    boolean keyShown = headers.contains("Authorization");
    ledger.recordDelivery(
        new Ledger.Delivery(id, headers.get("Tenant", ""), keyShown, fate, loop.nowMillis()));
    if (isOther) {
      answer(exchange, 421, Map.of("Instance-Id", facts.id()), "");
      return;
    }
    if (id.isEmpty() || isFull) {
      refuse(exchange, id.isEmpty() ? 400 : UNAVAILABLE, id);
      return;
    }
    if (isCold() && exceedsColdRate()) {
      crashProcess.run();
      return;
    }
    long deadlineMillis = remainingMillis < 0 ? Long.MAX_VALUE : loop.nowMillis() + remainingMillis;
    Job job = new Job(id, affinityKey(headers, id), request.uri(), deadlineMillis, exchange);
    exchange.setOnDisconnect(() -> onCallerLeft(job));
    queue.addLast(job);
    startQueued();
  }

  private void recordArrival(
      FullHttpRequest request,
      String id,
      long remainingMillis,
      ServerPort.Exchange exchange,
      Ledger.Fate fate) {
    String body = request.content().toString(StandardCharsets.UTF_8);
    boolean wellFormed =
        ledger
            .attempt(id)
            .filter(sent -> sent.path().equals(request.uri()) && sent.body().equals(body))
            .isPresent();
    ledger.recordArrival(
        new Ledger.Arrival(
            id,
            facts.incarnation().toString(),
            facts.service(),
            facts.zone(),
            facts.region(),
            exchange.callerIp(),
            loop.nowMillis(),
            fate,
            wellFormed,
            remainingMillis,
            isKnownCold()));
  }

  private static String affinityKey(HttpHeaders headers, String defaultKey) {
    String cookie = headers.get("Cookie", "");
    return cookie.startsWith("Affinity-Key=") ? cookie : defaultKey;
  }

  private boolean exceedsColdRate() {
    long nowMillis = loop.nowMillis();
    coldArrivals.addLast(nowMillis);
    while (coldArrivals.getFirst() <= nowMillis - SECOND_MILLIS) {
      coldArrivals.removeFirst();
    }
    return coldArrivals.size() > CRASH_RATE_FACTOR * traits.coldRequestsPerSecond();
  }

  private void startQueued() {
    while (running.size() < traits.slots() && !queue.isEmpty()) {
      Job job = queue.removeFirst();
      if (job.hasCallerLeft) {
        continue;
      }
      if (loop.nowMillis() >= job.deadlineMillis) {
        refuse(job.exchange, UNAVAILABLE, job.id);
        continue;
      }
      startRun(job);
    }
  }

  private void startRun(Job job) {
    boolean hadCached = traits.cacheCapacity() > 0 && cachedObjects.containsKey(job.object);
    job.run =
        ledger.recordRunStart(job.id, facts.incarnation().toString(), hadCached, loop.nowMillis());
    running.add(job);
    if (job.path.contains("poison")) {
      var unused = loop.schedule(CRASH_DELAY_MILLIS, () -> crashIfRunning(job));
      return;
    }
    double millis = (double) job.meanServiceMillis * (hadCached ? traits.cachedTimeFraction() : 1);
    millis *=
        1 - SERVICE_TIME_JITTER_FRACTION + 2 * SERVICE_TIME_JITTER_FRACTION * random.nextDouble();
    millis *= isCold() ? COLD_SERVICE_TIME_FACTOR * serviceTimeFactor : serviceTimeFactor;
    millis *= interferenceFactor;
    if (longRunFraction > 0 && random.nextDouble() < longRunFraction) {
      millis *= longRunFactor;
    }
    long maxMillis = Math.max(0, job.deadlineMillis - loop.nowMillis());
    boolean inTime = millis <= maxMillis;
    var unused =
        loop.schedule(
            Math.round(Math.min(millis, (double) maxMillis)), () -> finishRun(job, inTime));
  }

  private void crashIfRunning(Job job) {
    if (running.contains(job)) {
      ledger.recordCrash(
          new Ledger.Crash(job.id, facts.incarnation().toString(), loop.nowMillis()));
      crashProcess.run();
    }
  }

  private void finishRun(Job job, boolean inTime) {
    if (!running.remove(job)) {
      return;
    }
    if (inTime) {
      cachedObjects.put(job.object, true);
      if (cachedObjects.size() > traits.cacheCapacity()) {
        cachedObjects.remove(cachedObjects.keySet().iterator().next());
      }
    }
    sendAnswer(job, inTime ? 200 : 504);
    startQueued();
  }

  private void onCallerLeft(Job job) {
    job.hasCallerLeft = true;
    Ledger.Run run = job.run;
    if (running.remove(job) && run != null) {
      run.recordEnd(loop.nowMillis(), 0, null);
    }
    startQueued();
  }

  private void sendAnswer(Job job, int status) {
    Fault drawn = random.nextDouble() < faultFraction ? fault : Fault.NONE;
    boolean fails = drawn == Fault.FAILS || unsolicited.drawsFailure(job.exchange);
    int sentStatus = fails ? 500 : status;
    String body = "work " + job.id + " of " + facts.id() + ' ' + ".".repeat(PADDING_LENGTH);
    Ledger.Run run = job.run;
    boolean isMalformed = drawn == Fault.INVALID_STATUS || drawn == Fault.INVALID_HEADER;
    if (run != null) {
      run.recordEnd(loop.nowMillis(), sentStatus, isMalformed ? null : body);
    }
    recordSignals(job.exchange, job.id);
    if (isMalformed) {
      sendMalformed(drawn, job, sentStatus, body);
      return;
    }
    byte[] answer = answerText(sentStatus, job.id, body).getBytes(StandardCharsets.ISO_8859_1);
    switch (drawn) {
      case LOSES_ANSWER -> job.exchange.reset();
      case CUTS_ANSWER ->
          job.exchange.writeRaw(java.util.Arrays.copyOf(answer, answer.length / 2), true);
      case SPOILS_ANSWER ->
          job.exchange.writeRaw(
              "\u0001\u0002 no answer\r\n\r\n".getBytes(StandardCharsets.UTF_8), true);
      case ANSWERS_TWICE -> {
        job.exchange.writeRaw(answer, false);
        job.exchange.writeRaw(answer.clone(), false);
      }
      case UNFRAMED ->
          job.exchange.writeRaw(
              unframedAnswerText(sentStatus, job.id, body).getBytes(StandardCharsets.UTF_8), true);
      case CUTS_HEAD -> job.exchange.writeRaw(unsolicited.cutInHead(answer), true);
      case ANSWERS_TWICE_LATE,
          ANSWERS_TWICE_IN_PIECES,
          ANSWERS_TWICE_CUT,
          ANSWERS_TWICE_SPOILT,
          ANSWERS_TWICE_WITHOUT_ID,
          ADDS_BYTES ->
          unsolicited.send(drawn, answer, job.id, job.exchange);
      default -> job.exchange.writeRawAnswer(answer);
    }
  }

  /** Half of the malformed answers end with their connection. */
  private void sendMalformed(Fault drawn, Job job, int status, String body) {
    boolean isUnframed = random.nextBoolean();
    String answer =
        isUnframed ? unframedAnswerText(status, job.id, body) : answerText(status, job.id, body);
    String malformed =
        drawn == Fault.INVALID_STATUS
            ? malformedHeads.replaceStatus(answer, status)
            : malformedHeads.insertHeader(answer);
    job.exchange.writeRaw(malformed.getBytes(StandardCharsets.ISO_8859_1), isUnframed);
  }

  private String answerText(int status, String id, String body) {
    return "HTTP/1.1 "
        + status
        + " Done\r\n"
        + answerHeaders(id)
        + "Keep-Alive: timeout="
        + traits.idleTimeoutMillis() / SECOND_MILLIS
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n"
        + (isDraining ? "Connection: close\r\n" : "")
        + "\r\n"
        + body;
  }

  private String unframedAnswerText(int status, String id, String body) {
    return "HTTP/1.1 " + status + " Done\r\n" + answerHeaders(id) + "\r\n" + body;
  }

  private String answerHeaders(String id) {
    StringBuilder text =
        new StringBuilder(
            "Request-Id: " + id + "\r\nServer-Seal: " + PlatformTexts.seal(id) + "\r\n");
    signalHeaders()
        .forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    return text.toString();
  }

  private String loadHeader() {
    String load = running.size() + "," + queue.size() + "," + traits.slots();
    return traits.interference().isPresent()
        ? load + "," + Math.round(USUAL_RUN_PERCENT * interferenceFactor)
        : load;
  }

  private void refuse(ServerPort.Exchange exchange, int status, String id) {
    Map<String, String> headers = signalHeaders();
    headers.put("Not-Executed", "1");
    recordSignals(exchange, id);
    if (status == UNAVAILABLE && backOffMillis > 0) {
      headers.put("Retry-After", Long.toString(backOffMillis / SECOND_MILLIS));
      ledger.recordBackOffAnswer(
          new Ledger.BackOffAnswer(
              facts.incarnation().toString(),
              exchange.callerIp(),
              loop.nowMillis(),
              backOffMillis));
    }
    if (!id.isEmpty()) {
      headers.put("Request-Id", id);
    }
    answer(exchange, status, headers, "");
  }

  private static void answer(
      ServerPort.Exchange exchange, int status, Map<String, String> headers, String body) {
    exchange.answer(status, headers, body.getBytes(StandardCharsets.UTF_8));
  }
}
