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
   * @param vm IP number of the entry VM that it was sent to
   * @param at when its last byte was sent
   * @param deadlineMillis how long the caller waits
   */
  public record Asked(
      String id,
      RouteRule route,
      String path,
      String body,
      String region,
      String vm,
      long at,
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
    private final boolean known;
    private final long beganAt;
    private long endedAt = -1;
    private @Nullable String answer;
    private int status;

    Run(String id, String target, boolean known, long beganAt) {
      this.id = id;
      this.target = target;
      this.known = known;
      this.beganAt = beganAt;
    }

    /** It ended with that status and body; 0 and null where there was no answer. */
    public void ended(long at, int givenStatus, @Nullable String body) {
      endedAt = at;
      status = givenStatus;
      answer = body;
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
    public boolean known() {
      return known;
    }

    /** When it began. */
    public long beganAt() {
      return beganAt;
    }

    /** When it ended, or -1 while it runs. */
    public long endedAt() {
      return endedAt;
    }

    /** Body that the target answered, or null where there was none. */
    public @Nullable String answer() {
      return answer;
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
   * @param what what it is about, such as a target's id or a zone
   */
  public record Moment(Kind kind, String what, long at) {
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
   * @param everHeld true where some configuration of the day had the key
   */
  public record Bearer(String workspace, String key, boolean everHeld) {}

  /**
   * What a target was shown of a request's caller.
   *
   * @param workspace the workspace that was named, or empty
   * @param keyShown true where the key itself was passed on
   */
  public record Delivery(String id, String workspace, boolean keyShown, Fate fate, long at) {}

  private final Map<String, Bearer> bearers = new HashMap<>();
  private final List<Delivery> deliveries = new ArrayList<>();
  private final Map<String, Asked> asked = new LinkedHashMap<>();
  private final List<Arrival> arrivals = new ArrayList<>();
  private final Map<String, List<Run>> runs = new HashMap<>();
  private final Map<String, Answered> answers = new HashMap<>();
  private final Map<String, Long> left = new HashMap<>();
  private final List<Moment> moments = new ArrayList<>();

  /** The attempt of that id bears a key. */
  public void bears(String id, Bearer bearer) {
    bearers.put(id, bearer);
  }

  /** Whose key the attempt of that id bore; empty where it bore none. */
  public Optional<Bearer> bearer(String id) {
    return Optional.ofNullable(bearers.get(id));
  }

  /** A request reached a target. */
  public void delivered(Delivery of) {
    deliveries.add(of);
  }

  /** What targets were shown of callers, in order. */
  public List<Delivery> deliveries() {
    return deliveries;
  }

  /** An attempt was sent. */
  public void asked(Asked attempt) {
    asked.put(attempt.id(), attempt);
  }

  /** A request reached a target. */
  public void arrived(Arrival arrival) {
    arrivals.add(arrival);
  }

  /** A target begins to run a request; {@code known} where it remembers the object. */
  public Run began(String id, String target, boolean known, long at) {
    Run run = new Run(id, target, known, at);
    runs.computeIfAbsent(id, key -> new ArrayList<>()).add(run);
    return run;
  }

  /** A caller got an answer, or the end of its connection. */
  public void answered(Answered answer) {
    answers.putIfAbsent(answer.id(), answer);
  }

  /** A caller closed its connection though it has no answer yet. */
  public void callerLeft(String id, long at) {
    left.putIfAbsent(id, at);
  }

  /** Something was acknowledged. */
  public void moment(Moment.Kind kind, String what, long at) {
    moments.add(new Moment(kind, what, at));
  }

  /** All attempts by id, in the order in which they were sent. */
  public Map<String, Asked> asked() {
    return asked;
  }

  /** The attempt of that id. */
  public Optional<Asked> asked(String id) {
    return Optional.ofNullable(asked.get(id));
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
  public Optional<Long> leftAt(String id) {
    return Optional.ofNullable(left.get(id));
  }

  /** Moments of that kind, in their order. */
  public List<Moment> moments(Moment.Kind kind) {
    return moments.stream().filter(moment -> moment.kind() == kind).toList();
  }
}
