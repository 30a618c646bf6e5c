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
 * One start of a target: slots, a queue, a memory of objects, a cold start, and faults.
 *
 * <p>Requests name their mean work in milliseconds in the last part of their path, as in {@code
 * /lots/640}. A path that contains {@code poison} crashes the target that begins to run it.
 */
public final class TargetStandIn {
  /** Faults of its answers. */
  public enum Fault {
    /** None. */
    NONE,
    /** Runs the request and closes the connection without an answer. */
    LOSES_ANSWER,
    /** Breaks the answer off in its middle. */
    CUTS_ANSWER,
    /** Sends bytes that are no answer. */
    SPOILS_ANSWER,
    /** Sends a second answer after the first. */
    ANSWERS_TWICE,
    /** Answers without a length; the end of the connection ends the answer. */
    UNFRAMED,
    /** Fails with a status of its own. */
    FAILS
  }

  private static final double COLD_FACTOR = 2;
  private static final double SPREAD = 0.15;

  /** A cold target crashes where it gets that many times what it bears. */
  private static final double CRASHES_AT = 4;

  private static final long SECOND_MILLIS = 1_000;

  /** Time in which news of the store reaches the entry VMs that are in touch with it. */
  private static final long NEWS_MILLIS = 1_000;

  private static final int FILLER = 400;

  private static final class Job {
    final String id;
    final String object;
    final String path;
    final long workMillis;
    final long endsAt;
    final ServerPort.Exchange exchange;
    Ledger.@Nullable Run run;
    boolean gone;

    Job(String id, String object, String path, long endsAt, ServerPort.Exchange exchange) {
      this.id = id;
      this.object = object;
      this.path = path;
      this.workMillis = work(path);
      this.endsAt = endsAt;
      this.exchange = exchange;
    }
  }

  private final Loop loop;
  private final TargetFacts facts;
  private final TargetTraits traits;
  private final Ledger ledger;
  private final Random random;
  private final Runnable crash;
  private final Deque<Job> waiting = new ArrayDeque<>();
  private final Set<Job> running = new LinkedHashSet<>();
  private final Map<String, Boolean> memory = new LinkedHashMap<>(32, 0.75f, true);
  private final Deque<Long> coldArrivals = new ArrayDeque<>();
  private long coldUntil;
  private long coldKnownAt = -1;
  private double slowness = 1;
  private Fault fault = Fault.NONE;
  private double faultShare;
  private boolean leaving;

  private TargetStandIn(
      Loop loop, TargetFacts facts, TargetTraits traits, Ledger ledger, long seed, Runnable crash) {
    this.loop = loop;
    this.facts = facts;
    this.traits = traits;
    this.ledger = ledger;
    this.random = new Random(seed ^ facts.id().hashCode());
    this.crash = crash;
    this.coldUntil = loop.nowMillis() + facts.remainingColdMillis();
    this.coldKnownAt = loop.nowMillis();
  }

  /**
   * Starts a target on its port.
   *
   * @param facts what it says of itself; cold for as long as they say, and known to be so
   * @param crash ends its process
   */
  public static TargetStandIn start(
      Loop loop,
      TargetFacts facts,
      TargetTraits traits,
      Ledger ledger,
      long seed,
      Runnable crash,
      ServerPort.Opened opened) {
    TargetStandIn target = new TargetStandIn(loop, facts, traits, ledger, seed, crash);
    ServerPort.open(
        loop,
        facts.host(),
        facts.port(),
        (request, exchange) -> target.handle(request, exchange),
        opened);
    return target;
  }

  /** What it says of itself now. */
  public TargetFacts facts() {
    TargetFacts now = leaving ? facts.asDraining() : facts;
    return now.coldFor(Math.max(0, coldUntil - loop.nowMillis()));
  }

  /** Runs take that many times as long from now on. */
  public void slow(double factor) {
    slowness = factor;
  }

  /** That share of the answers goes wrong from now on. */
  public void faulty(Fault kind, double share) {
    fault = kind;
    faultShare = share;
  }

  /** Forgets all objects and is slow for a while, as after a start. */
  public void turnCold() {
    memory.clear();
    coldUntil = loop.nowMillis() + traits.coldMillis();
    coldKnownAt = -1;
  }

  /** The store has what {@link #facts} says; entry VMs hear of it a while later. */
  public void told() {
    if (isCold() && coldKnownAt < 0) {
      coldKnownAt = loop.nowMillis() + NEWS_MILLIS;
    }
  }

  /** True where it is cold and entry VMs in touch can know it. */
  private boolean isKnownCold() {
    return isCold() && coldKnownAt >= 0 && loop.nowMillis() >= coldKnownAt;
  }

  /** Says that it leaves; it goes on serving. */
  public void leave() {
    leaving = true;
  }

  private boolean isCold() {
    return loop.nowMillis() < coldUntil;
  }

  private static long work(String path) {
    String plain = path.contains("?") ? path.substring(0, path.indexOf('?')) : path;
    String last = plain.substring(plain.lastIndexOf('/') + 1);
    return last.chars().allMatch(Character::isDigit) && !last.isEmpty() ? Long.parseLong(last) : 10;
  }

  private void handle(FullHttpRequest request, ServerPort.Exchange exchange) {
    HttpHeaders headers = request.headers();
    if (request.uri().equals("/health")) {
      answer(exchange, leaving ? 503 : 200, Map.of("Instance-Id", facts.id()), "");
      return;
    }
    String id = headers.get("Request-Id", "");
    long deadline = Long.parseLong(headers.get("Request-Deadline", "-1"));
    boolean other = !headers.get("Expected-Instance", facts.id()).equals(facts.id());
    boolean full = running.size() >= traits.slots() && waiting.size() >= traits.queue();
    Ledger.Fate fate = full ? Ledger.Fate.REFUSED : Ledger.Fate.TAKEN;
    Ledger.Fate seen = other ? Ledger.Fate.OTHER_TARGET : fate;
    note(request, id, deadline, exchange, seen);
    boolean keyShown = headers.contains("Authorization");
    ledger.delivered(
        new Ledger.Delivery(id, headers.get("Tenant", ""), keyShown, seen, loop.nowMillis()));
    if (other) {
      answer(exchange, 421, Map.of("Instance-Id", facts.id()), "");
      return;
    }
    if (id.isEmpty() || full) {
      refuse(exchange, id.isEmpty() ? 400 : 503, id);
      return;
    }
    if (isCold() && tooManyWhileCold()) {
      crash.run();
      return;
    }
    long endsAt = deadline < 0 ? Long.MAX_VALUE : loop.nowMillis() + deadline;
    Job job = new Job(id, object(headers, id), request.uri(), endsAt, exchange);
    exchange.whenGone(() -> gone(job));
    waiting.addLast(job);
    next();
  }

  private void note(
      FullHttpRequest request,
      String id,
      long deadline,
      ServerPort.Exchange exchange,
      Ledger.Fate fate) {
    String body = request.content().toString(StandardCharsets.UTF_8);
    boolean wellFormed =
        ledger
            .asked(id)
            .filter(asked -> asked.path().equals(request.uri()) && asked.body().equals(body))
            .isPresent();
    ledger.arrived(
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
            deadline,
            isKnownCold()));
  }

  private static String object(HttpHeaders headers, String otherwise) {
    String cookie = headers.get("Cookie", "");
    return cookie.startsWith("Affinity-Key=") ? cookie : otherwise;
  }

  private boolean tooManyWhileCold() {
    long now = loop.nowMillis();
    coldArrivals.addLast(now);
    while (coldArrivals.getFirst() <= now - SECOND_MILLIS) {
      coldArrivals.removeFirst();
    }
    return coldArrivals.size() > CRASHES_AT * traits.coldPerSecond();
  }

  private void next() {
    while (running.size() < traits.slots() && !waiting.isEmpty()) {
      Job job = waiting.removeFirst();
      if (job.gone) {
        continue;
      }
      if (loop.nowMillis() >= job.endsAt) {
        refuse(job.exchange, 503, job.id);
        continue;
      }
      begin(job);
    }
  }

  private void begin(Job job) {
    boolean known = traits.remembers() > 0 && memory.containsKey(job.object);
    job.run = ledger.began(job.id, facts.incarnation().toString(), known, loop.nowMillis());
    if (job.path.contains("poison")) {
      crash.run();
      return;
    }
    running.add(job);
    double millis = (double) job.workMillis * (known ? traits.knownPart() : 1);
    millis *= 1 - SPREAD + 2 * SPREAD * random.nextDouble();
    millis *= isCold() ? COLD_FACTOR * slowness : slowness;
    long most = Math.max(0, job.endsAt - loop.nowMillis());
    boolean inTime = millis <= most;
    var unused =
        loop.schedule(Math.round(Math.min(millis, (double) most)), () -> finish(job, inTime));
  }

  private void finish(Job job, boolean inTime) {
    if (!running.remove(job)) {
      return;
    }
    if (inTime) {
      memory.put(job.object, true);
      if (memory.size() > traits.remembers()) {
        memory.remove(memory.keySet().iterator().next());
      }
    }
    deliver(job, inTime ? 200 : 504);
    next();
  }

  private void gone(Job job) {
    job.gone = true;
    Ledger.Run run = job.run;
    if (running.remove(job) && run != null) {
      run.ended(loop.nowMillis(), 0, null);
    }
    next();
  }

  private void deliver(Job job, int status) {
    Fault now = random.nextDouble() < faultShare ? fault : Fault.NONE;
    int given = now == Fault.FAILS ? 500 : status;
    String body = "work " + job.id + " of " + facts.id() + ' ' + ".".repeat(FILLER);
    Ledger.Run run = job.run;
    if (run != null) {
      run.ended(loop.nowMillis(), given, body);
    }
    byte[] whole = text(given, job.id, body).getBytes(StandardCharsets.ISO_8859_1);
    switch (now) {
      case LOSES_ANSWER -> job.exchange.reset();
      case CUTS_ANSWER -> job.exchange.raw(java.util.Arrays.copyOf(whole, whole.length / 2), true);
      case SPOILS_ANSWER ->
          job.exchange.raw("\u0001\u0002 no answer\r\n\r\n".getBytes(StandardCharsets.UTF_8), true);
      case ANSWERS_TWICE -> {
        job.exchange.raw(whole, false);
        job.exchange.raw(whole.clone(), false);
      }
      case UNFRAMED ->
          job.exchange.raw(unframed(given, job.id, body).getBytes(StandardCharsets.UTF_8), true);
      default -> job.exchange.raw(whole, false);
    }
  }

  private String text(int status, String id, String body) {
    return "HTTP/1.1 "
        + status
        + " Done\r\n"
        + headers(id)
        + "Keep-Alive: timeout="
        + traits.idleMillis() / SECOND_MILLIS
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n"
        + (leaving ? "Connection: close\r\n" : "")
        + "\r\n"
        + body;
  }

  private String unframed(int status, String id, String body) {
    return "HTTP/1.1 " + status + " Done\r\n" + headers(id) + "\r\n" + body;
  }

  private String headers(String id) {
    return "Request-Id: " + id + "\r\nServer-Seal: seal\r\nServer-Load: " + loadText() + "\r\n";
  }

  private String loadText() {
    return running.size() + "," + waiting.size() + "," + traits.slots();
  }

  private void refuse(ServerPort.Exchange exchange, int status, String id) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Not-Executed", "1");
    headers.put("Server-Load", loadText());
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
