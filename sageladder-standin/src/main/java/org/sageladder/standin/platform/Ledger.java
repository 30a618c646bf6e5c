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
 * What callers, targets and the operator saw, each at its own end; the rules are checked by it.
 *
 * <p>Times are milliseconds of the stand-ins' clock. Not safe for use by several threads.
 */
public final class Ledger {
  /**
   * One attempt of a caller.
   *
   * @param id its id
   * @param route the route that it is for, as the newest configuration has it
   * @param path its path
   * @param body its body, maybe empty
   * @param region region of the caller
   * @param entryVmIp IP number of the entry VM that it was sent to
   * @param sentAtMillis when its last byte was sent
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

  /** What became of a request at a target when it arrived. */
  public enum Fate {
    /** It runs, or waits for a slot. */
    TAKEN,
    /** The target was full, or its time was over. */
    REFUSED,
    /** Another target was meant. */
    OTHER_TARGET
  }

  /**
   * A request reached a target.
   *
   * @param from IP number of the entry VM that sent it
   * @param wellFormed false where method, path or body are not those of its caller
   * @param deadlineMillis time left that the target was told, or -1
   * @param cold true where the target was cold and the store has known it for a while
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

  /** A target began to run a request. */
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

    /** It ended with that status and body; 0 and null where there was no answer. */
    public void recordEnd(long atMillis, int responseStatus, @Nullable String body) {
      endedAtMillis = atMillis;
      status = responseStatus;
      responseBody = body;
    }

    /** Id of the request. */
    public String id() {
      return id;
    }

    /** The target that ran it. */
    public String target() {
      return target;
    }

    /** True where the target remembered its object. */
    public boolean hadCached() {
      return hadCached;
    }

    /** When it began. */
    public long startedAtMillis() {
      return startedAtMillis;
    }

    /** When it ended, or -1 while it runs. */
    public long endedAtMillis() {
      return endedAtMillis;
    }

    /** Body that the target answered, or null where there was none. */
    public @Nullable String responseBody() {
      return responseBody;
    }

    /** Status that the target answered, or 0. */
    public int status() {
      return status;
    }
  }

  /**
   * What a caller got.
   *
   * @param status HTTP status, or 0 where the connection ended without a whole answer
   * @param body what came
   * @param sealed true where the answer bears a target's seal
   * @param named id that the answer names, or null
   */
  public record Answered(
      String id, int status, String body, boolean sealed, @Nullable String named, long at) {}

  /**
   * A moment at which something was acknowledged or became so.
   *
   * @param subject what it is about, such as a target's id or a zone
   */
  public record PlatformEvent(Kind kind, String subject, long atMillis) {
    /** Kinds of moments. */
    public enum Kind {
      /** The store has a target's leaving. */
      TARGET_LEAVES,
      /** The store has the entry of a living target again that had lapsed. */
      TARGET_BACK,
      /** The store has a configuration; its version is in {@code what}. */
      CONFIGURATION,
      /** The store has that a zone is to be emptied. */
      ZONE_EMPTIED,
      /** The store has that a zone is taken back. */
      ZONE_TAKEN_BACK,
      /** The store has a configuration without a key that callers still bear. */
      KEY_TAKEN_AWAY,
      /** The store has a configuration that lowers a workspace's quota. */
      QUOTA_LOWERED,
      /** Something goes wrong from now on. */
      TROUBLE_BEGINS,
      /** It is well again. */
      TROUBLE_ENDS
    }
  }

  /**
   * Whose key an attempt of a caller bore.
   *
   * @param workspace the workspace that held the key when it was sent, or empty where none did
   * @param wasEverConfigured true where some configuration of the day had the key
   */
  public record Credential(String workspace, String key, boolean wasEverConfigured) {}

  /**
   * What a target was shown of a request's caller.
   *
   * @param workspace the workspace that was named, or empty
   * @param keyShown true where the key itself was passed on
   */
  public record Delivery(String id, String workspace, boolean keyShown, Fate fate, long at) {}

  private final Map<String, Credential> credentials = new HashMap<>();
  private final List<Delivery> deliveries = new ArrayList<>();
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();
  private final List<Arrival> arrivals = new ArrayList<>();
  private final Map<String, List<Run>> runs = new HashMap<>();
  private final Map<String, Answered> answers = new HashMap<>();
  private final Map<String, Long> callerLeftAtMillis = new HashMap<>();
  private final List<PlatformEvent> events = new ArrayList<>();

  /** The attempt of that id bears a key. */
  public void recordCredential(String id, Credential credential) {
    credentials.put(id, credential);
  }

  /** Whose key the attempt of that id bore; empty where it bore none. */
  public Optional<Credential> credential(String id) {
    return Optional.ofNullable(credentials.get(id));
  }

  /** A request reached a target. */
  public void recordDelivery(Delivery delivery) {
    deliveries.add(delivery);
  }

  /** What targets were shown of callers, in order. */
  public List<Delivery> deliveries() {
    return deliveries;
  }

  /** An attempt was sent. */
  public void attempt(Attempt attempt) {
    attempts.put(attempt.id(), attempt);
  }

  /** A request reached a target. */
  public void recordArrival(Arrival arrival) {
    arrivals.add(arrival);
  }

  /** A target begins to run a request; {@code known} where it remembers the object. */
  public Run recordRunStart(String id, String target, boolean hadCached, long atMillis) {
    Run run = new Run(id, target, hadCached, atMillis);
    runs.computeIfAbsent(id, key -> new ArrayList<>()).add(run);
    return run;
  }

  /** A caller got an answer, or the end of its connection. */
  public void recordAnswer(Answered answer) {
    answers.putIfAbsent(answer.id(), answer);
  }

  /** A caller closed its connection though it has no answer yet. */
  public void recordCallerLeft(String id, long atMillis) {
    callerLeftAtMillis.putIfAbsent(id, atMillis);
  }

  /** Something was acknowledged. */
  public void recordEvent(PlatformEvent.Kind kind, String subject, long atMillis) {
    events.add(new PlatformEvent(kind, subject, atMillis));
  }

  /** All attempts by id, in the order in which they were sent. */
  public Map<String, Attempt> attempts() {
    return attempts;
  }

  /** The attempt of that id. */
  public Optional<Attempt> attempt(String id) {
    return Optional.ofNullable(attempts.get(id));
  }

  /** All arrivals at targets, in their order. */
  public List<Arrival> arrivals() {
    return arrivals;
  }

  /** Runs of the request of that id. */
  public List<Run> runs(String id) {
    return runs.getOrDefault(id, List.of());
  }

  /** All requests that ran, by id. */
  public Map<String, List<Run>> runs() {
    return runs;
  }

  /** What the caller of that id got. */
  public Optional<Answered> answer(String id) {
    return Optional.ofNullable(answers.get(id));
  }

  /** When the caller of that id left without an answer. */
  public Optional<Long> callerLeftAtMillis(String id) {
    return Optional.ofNullable(callerLeftAtMillis.get(id));
  }

  /** Moments of that kind, in their order. */
  public List<PlatformEvent> events(PlatformEvent.Kind kind) {
    return events.stream().filter(moment -> moment.kind() == kind).toList();
  }
}
