package org.sageladder.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.routing.RouteRule;

/**
 * Records what callers, targets and the operator observe, so that the platform's rules can be
 * checked against it.
 *
 * <p>Times are milliseconds of the stand-ins' clock. Not thread-safe.
 */
public final class Ledger {
  /**
   * One attempt of a caller.
   *
   * @param id id of the attempt, sent as {@code Request-Id}
   * @param route its route in the newest configuration at the time of sending
   * @param path request path
   * @param body request body, possibly empty
   * @param region region of the caller
   * @param entryVmIp IP address of the entry VM that it was sent to
   * @param sentAtMillis when it was sent
   * @param deadlineMillis how long the caller waits
   */
  public record Attempt(
      String id,
      RouteRule route,
      String path,
      String body,
      String region,
      String entryVmIp,
      long sentAtMillis,
      long deadlineMillis) {}

  /**
   * The first try of a caller's request.
   *
   * @param entryVmIp IP address of the entry VM that the caller chose
   * @param attemptId id of the attempt, or empty if the connection could not be opened
   */
  public record FirstTry(String entryVmIp, String attemptId, long atMillis) {}

  /** A crash of a target that the run of a request caused. */
  public record Crash(String requestId, String target, long atMillis) {}

  /** What a target did with a request on arrival. */
  public enum Fate {
    /** Accepted: it runs or waits for a slot. */
    TAKEN,
    /** Refused, because the slots and the queue were full. */
    REFUSED,
    /** Refused, because the request was meant for another target. */
    OTHER_TARGET
  }

  /**
   * The arrival of a request at a target. Reports of rule violations print it, so the component
   * names are part of their format.
   *
   * @param from IP address of the entry VM that sent it
   * @param wellFormed false where path or body differ from what the caller sent
   * @param deadlineMillis remaining time that the request stated, or -1
   * @param cold true where the target was cold and entry VMs had time to learn it from the store
   */
  public record Arrival(
      String id,
      String target,
      String service,
      String zone,
      String region,
      String from,
      long at,
      Fate fate,
      boolean wellFormed,
      long deadlineMillis,
      boolean cold) {}

  /** One run of a request at a target. */
  public static final class Run {
    private final String id;
    private final String target;
    private final boolean hadCached;
    private final long startedAtMillis;
    private long endedAtMillis = -1;
    private @Nullable String responseBody;
    private int status;

    Run(String id, String target, boolean hadCached, long startedAtMillis) {
      this.id = id;
      this.target = target;
      this.hadCached = hadCached;
      this.startedAtMillis = startedAtMillis;
    }

    /**
     * Records the end of the run; status 0 and a null body mean that there was no answer, a null
     * body alone that no valid one was sent.
     */
    public void recordEnd(long atMillis, int responseStatus, @Nullable String body) {
      endedAtMillis = atMillis;
      status = responseStatus;
      responseBody = body;
    }

    /** Returns the id of the request. */
    public String id() {
      return id;
    }

    /** Returns the target that ran it. */
    public String target() {
      return target;
    }

    /** Returns whether the target had the object cached. */
    public boolean hadCached() {
      return hadCached;
    }

    /** Returns when the run started. */
    public long startedAtMillis() {
      return startedAtMillis;
    }

    /** Returns when the run ended, or -1 while it runs. */
    public long endedAtMillis() {
      return endedAtMillis;
    }

    /** Returns the body of the target's answer, or null where there was no valid one. */
    public @Nullable String responseBody() {
      return responseBody;
    }

    /** Returns the status of the target's answer, or 0 where there was none. */
    public int status() {
      return status;
    }
  }

  /**
   * The answer that a caller received. Reports of rule violations print it, so the component names
   * are part of their format.
   *
   * @param status HTTP status, or 0 where the connection closed before a complete answer
   * @param body body of the answer
   * @param sealed whether the answer has a target's {@code Server-Seal} header
   * @param named request id that the answer states, or null
   */
  public record Answered(
      String id, int status, String body, boolean sealed, @Nullable String named, long at) {}

  /**
   * A change of the platform's state, or the start or end of a trouble.
   *
   * @param subject what the event is about, such as a target's id, a zone or a route
   */
  public record PlatformEvent(Kind kind, String subject, long atMillis) {
    /** Kinds of events. */
    public enum Kind {
      /** The store has recorded that a target is leaving or has left. */
      TARGET_LEAVES,
      /** The store has the entry of a live target again after it had expired. */
      TARGET_BACK,
      /** The store has a new configuration; one event for each of its routes. */
      CONFIGURATION,
      /** The store has the order to evacuate a zone. */
      ZONE_EMPTIED,
      /** The store has the order that ends the evacuation of a zone. */
      ZONE_TAKEN_BACK,
      /** The store has a configuration without a key that callers still send. */
      KEY_TAKEN_AWAY,
      /** The store has a configuration that lowers a workspace's quota. */
      QUOTA_LOWERED,
      /** A trouble starts. */
      TROUBLE_BEGINS,
      /** A trouble ends. */
      TROUBLE_ENDS
    }
  }

  /**
   * The API key of a caller's attempt.
   *
   * @param workspace workspace that the key was issued to, or empty for a forged key
   * @param wasEverConfigured whether any configuration so far contained the key
   */
  public record Credential(String workspace, String key, boolean wasEverConfigured) {}

  /**
   * The caller's identity as stated in a request that reached a target. Reports of broken rules
   * print it, so the component names are part of their format.
   *
   * @param workspace workspace named in the request, or empty
   * @param keyShown whether the API key itself was forwarded
   */
  public record Delivery(String id, String workspace, boolean keyShown, Fate fate, long at) {}

  /**
   * A period in which a target stated one request rate in its answers.
   *
   * @param requestsPerSecond the rate that it accepted from all entry VMs together
   * @param toMillis end of the period, or {@link Long#MAX_VALUE} while it lasts
   * @param answeredIds ids of the requests that it answered so, by the IP address of the entry VM
   */
  public record RateLimitPeriod(
      String target,
      double requestsPerSecond,
      long fromMillis,
      long toMillis,
      Map<String, List<String>> answeredIds) {}

  /**
   * An answer in which a target states that it is draining.
   *
   * @param vm IP address of the entry VM that sent the request
   * @param requestId id of the answered request
   */
  public record DrainingAnswer(String target, String vm, String requestId) {}

  /**
   * A refusal in which a target asks an entry VM for no requests for a time.
   *
   * @param vm IP address of the entry VM
   * @param atMillis when the target answered
   * @param millis length of the time
   */
  public record BackOffAnswer(String target, String vm, long atMillis, long millis) {}

  private final List<BackOffAnswer> backOffAnswers = new ArrayList<>();
  private final List<DrainingAnswer> drainingAnswers = new ArrayList<>();
  private final List<RateLimitPeriod> rateLimitPeriods = new ArrayList<>();
  private final Map<String, Credential> credentials = new HashMap<>();
  private final List<Delivery> deliveries = new ArrayList<>();
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();
  private final List<FirstTry> firstTries = new ArrayList<>();
  private final List<Arrival> arrivals = new ArrayList<>();
  private final List<Crash> crashes = new ArrayList<>();
  private final List<String> quarantined = new ArrayList<>();
  private final Map<String, List<Run>> runs = new HashMap<>();
  private final Map<String, Answered> answers = new HashMap<>();
  private final Map<String, String> malformedAnswers = new LinkedHashMap<>();
  private final Map<String, Long> callerLeftAtMillis = new HashMap<>();
  private final List<PlatformEvent> events = new ArrayList<>();

  /** Records that a target states a request rate in its answers from now on. */
  public void startRateLimit(String target, double requestsPerSecond, long atMillis) {
    rateLimitPeriods.add(
        new RateLimitPeriod(target, requestsPerSecond, atMillis, Long.MAX_VALUE, new HashMap<>()));
  }

  /** Records that a target no longer states the rate that it stated before, if it did. */
  public void endRateLimit(String target, long atMillis) {
    rateLimitPeriods.replaceAll(
        period ->
            period.target().equals(target) && period.toMillis() == Long.MAX_VALUE
                ? new RateLimitPeriod(
                    target,
                    period.requestsPerSecond(),
                    period.fromMillis(),
                    atMillis,
                    period.answeredIds())
                : period);
  }

  /** Records that a target states its current rate in the answer to a request of an entry VM. */
  public void recordRateLimitAnswer(String target, String vm, String requestId) {
    for (RateLimitPeriod period : rateLimitPeriods) {
      if (period.target().equals(target) && period.toMillis() == Long.MAX_VALUE) {
        period.answeredIds().computeIfAbsent(vm, ip -> new ArrayList<>()).add(requestId);
      }
    }
  }

  /** Returns the periods in which targets stated request rates, in the order of their starts. */
  public List<RateLimitPeriod> rateLimitPeriods() {
    return rateLimitPeriods;
  }

  /** Records an answer in which a target states that it is draining. */
  public void recordDrainingAnswer(DrainingAnswer answer) {
    drainingAnswers.add(answer);
  }

  /** Returns the answers in which targets stated that they are draining, in order. */
  public List<DrainingAnswer> drainingAnswers() {
    return drainingAnswers;
  }

  /** Records a refusal in which a target asks for no requests for a time. */
  public void recordBackOffAnswer(BackOffAnswer answer) {
    backOffAnswers.add(answer);
  }

  /** Returns the refusals in which targets asked for no requests for a time, in order. */
  public List<BackOffAnswer> backOffAnswers() {
    return backOffAnswers;
  }

  /** Records the API key of the attempt {@code id}. */
  public void recordCredential(String id, Credential credential) {
    credentials.put(id, credential);
  }

  /** Returns the API key of the attempt {@code id}; empty where it had none. */
  public Optional<Credential> credential(String id) {
    return Optional.ofNullable(credentials.get(id));
  }

  /** Records the caller's identity as stated in a request that reached a target. */
  public void recordDelivery(Delivery delivery) {
    deliveries.add(delivery);
  }

  /** Returns all deliveries in order of arrival. */
  public List<Delivery> deliveries() {
    return deliveries;
  }

  /** Records an attempt when it is sent. */
  public void recordAttempt(Attempt attempt) {
    attempts.put(attempt.id(), attempt);
  }

  /** Records the first try of a request. */
  public void recordFirstTry(FirstTry firstTry) {
    firstTries.add(firstTry);
  }

  /** Returns the first tries of all requests, in the order of sending. */
  public List<FirstTry> firstTries() {
    return firstTries;
  }

  /** Returns true if the first try was answered with a success. */
  public boolean isServed(FirstTry firstTry) {
    int status = answer(firstTry.attemptId()).map(Answered::status).orElse(0);
    return status >= 200 && status < 300;
  }

  /** Records the arrival of a request at a target. */
  public void recordArrival(Arrival arrival) {
    arrivals.add(arrival);
  }

  /** Records that a target starts a request; {@code hadCached} says whether it had the object. */
  public Run recordRunStart(String id, String target, boolean hadCached, long atMillis) {
    Run run = new Run(id, target, hadCached, atMillis);
    runs.computeIfAbsent(id, key -> new ArrayList<>()).add(run);
    return run;
  }

  /** Records that the run of a request has crashed its target. */
  public void recordCrash(Crash crash) {
    crashes.add(crash);
  }

  /** Returns the crashes that requests caused, in the order in which they happened. */
  public List<Crash> crashes() {
    return crashes;
  }

  /** Records that an attempt was refused as one that crashes its targets. */
  public void recordQuarantined(String requestId) {
    quarantined.add(requestId);
  }

  /** Returns the attempts that were refused as ones that crash their targets. */
  public List<String> quarantined() {
    return quarantined;
  }

  /** Records the answer to an attempt, or that its connection closed; the first one counts. */
  public void recordAnswer(Answered answer) {
    answers.putIfAbsent(answer.id(), answer);
  }

  /** Records that a caller received bytes that are no answer in place of one, and why. */
  public void recordMalformedAnswer(String id, String cause) {
    malformedAnswers.putIfAbsent(id, cause);
  }

  /** Returns why callers took what they received for no answer, by the id of the attempt. */
  public Map<String, String> malformedAnswers() {
    return malformedAnswers;
  }

  /** Records that a caller closed its connection before the answer. */
  public void recordCallerLeft(String id, long atMillis) {
    callerLeftAtMillis.putIfAbsent(id, atMillis);
  }

  /** Records an event of the platform. */
  public void recordEvent(PlatformEvent.Kind kind, String subject, long atMillis) {
    events.add(new PlatformEvent(kind, subject, atMillis));
  }

  /** Returns all attempts by id, in the order of sending. */
  public Map<String, Attempt> attempts() {
    return attempts;
  }

  /** Returns the attempt {@code id}. */
  public Optional<Attempt> attempt(String id) {
    return Optional.ofNullable(attempts.get(id));
  }

  /** Returns all arrivals at targets in order. */
  public List<Arrival> arrivals() {
    return arrivals;
  }

  /** Returns the runs of the request {@code id}. */
  public List<Run> runs(String id) {
    return runs.getOrDefault(id, List.of());
  }

  /** Returns the runs of all requests by id. */
  public Map<String, List<Run>> runs() {
    return runs;
  }

  /** Returns the answer to the attempt {@code id}. */
  public Optional<Answered> answer(String id) {
    return Optional.ofNullable(answers.get(id));
  }

  /** Returns when the caller of the attempt {@code id} left without an answer. */
  public Optional<Long> callerLeftAtMillis(String id) {
    return Optional.ofNullable(callerLeftAtMillis.get(id));
  }

  /** Returns the events of that kind in order. */
  public List<PlatformEvent> events(PlatformEvent.Kind kind) {
    return events.stream().filter(event -> event.kind() == kind).toList();
  }
}
