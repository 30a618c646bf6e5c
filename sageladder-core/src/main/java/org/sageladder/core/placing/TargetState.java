package org.sageladder.core.placing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * One target as this entry VM believes it to be: its facts, its load and what it was like lately.
 *
 * <p>The load is this VM's own count, which is exact, plus what others have there, which the target
 * reports in its answers and which is believed less the older it is.
 */
public final class TargetState {
  /**
   * Objects remembered for each target. Targets keep about 25 objects; remembering a few fewer errs
   * toward believing a target cold, which costs a warm run elsewhere, not a cold run here.
   */
  private static final int OBJECTS_REMEMBERED = 24;

  /**
   * What a load report says beyond the mean counts half after this time: about one run of a
   * request, in milliseconds.
   */
  private static final double LOAD_HALF_LIFE_MILLIS = 400;

  /** Reports that count in the mean of the load of others. */
  private static final int LOAD_REPORTS = 10;

  /** Reports of the target itself that weigh as much as what its region's targets reported. */
  private static final double REGION_WEIGHT = 2;

  /** Part of a new outcome in the share of failures; about the last ten outcomes count. */
  private static final double FAILURE_STEP = 0.1;

  /** Part of a new run's time in the slowness; about the last five runs count. */
  private static final double SLOWNESS_STEP = 0.2;

  private static final double LEAST_SLOWNESS = 0.5;
  private static final double MOST_SLOWNESS = 12;

  private final long idHash;
  private final RegionLoad region;
  private TargetFacts facts;
  private boolean newlyJoined;
  private boolean hadWork;
  private int inFlight;
  private double others;
  private final RunningMean usualOthers = RunningMean.ofLast(LOAD_REPORTS);
  private long othersSeenAt;
  private long coldUntil;
  private double failureShare;
  private long failureSeenAt;
  private double slowness = 1;
  private long avoidUntil;
  // Oldest first.
  private final Set<Long> objects = new LinkedHashSet<>();

  TargetState(TargetFacts facts, RegionLoad region, long now, boolean newlyJoined) {
    this.facts = facts;
    this.region = region;
    this.idHash = Hashing.komihash5_0().hashCharsToLong(facts.id());
    this.coldUntil = now + facts.coldMillis();
    this.newlyJoined = newlyJoined;
  }

  /** What the target says of itself. */
  public TargetFacts facts() {
    return facts;
  }

  /** Hash of the target's id, for the order of targets for an object. */
  long idHash() {
    return idHash;
  }

  void update(TargetFacts newer, long now) {
    facts = newer;
    coldUntil = now + newer.coldMillis();
    if (newer.coldMillis() > 0) {
      objects.clear();
    }
  }

  /** Treats the target as cold until {@code until} at least. */
  public void coldUntil(long until) {
    if (until > coldUntil) {
      coldUntil = until;
      objects.clear();
    }
  }

  /** True where the target bears only a few requests a second. */
  public boolean isCold(long now) {
    return now < coldUntil;
  }

  /** Requests of this entry VM that are there now. */
  public int inFlight() {
    return inFlight;
  }

  /** True where this entry VM has sent a request there. */
  boolean hadWork() {
    return hadWork;
  }

  /** True where it joined others that had work, and has had no request from this entry VM. */
  boolean isNewlyJoined() {
    return newlyJoined;
  }

  /** Counts a request that is sent there. */
  public void startRequest() {
    newlyJoined = false;
    hadWork = true;
    inFlight++;
    region.addOwnRequests(1);
  }

  /** Counts a request that has ended there, however. */
  public void endRequest() {
    inFlight--;
    region.addOwnRequests(-1);
  }

  /**
   * Records the load that the target reported in an answer; that answer's request has ended
   * already.
   */
  public void recordReport(LoadReport load, long now) {
    others = Math.max(0, load.running() + load.waiting() - inFlight);
    usualOthers.add(others);
    othersSeenAt = now;
    region.recordReport(others, facts.slots());
  }

  /**
   * Requests believed to be there now, of all entry VMs.
   *
   * <p>An old report fades into the mean, not into nothing: where many VMs share a target each
   * hears of it seldom, and a target believed idle between two reports would be crowded by all of
   * them.
   */
  public double load(long now) {
    double age = Math.max(0, now - othersSeenAt);
    double fresh = Math.pow(0.5, age / LOAD_HALF_LIFE_MILLIS);
    long reports = usualOthers.count();
    double heard = Math.min(reports, LOAD_REPORTS);
    double usual =
        (heard * usualOthers.value() + REGION_WEIGHT * region.guess(facts.slots()))
            / (heard + REGION_WEIGHT);
    return inFlight + usual + (reports == 0 ? 0 : (others - usual) * fresh);
  }

  /** True where the target has reported its load in the last {@code millis}. */
  boolean hasReportWithin(long millis, long now) {
    return usualOthers.count() > 0 && now - othersSeenAt <= millis;
  }

  /** Notes that the target served or failed a request. */
  public void outcome(boolean good, long now) {
    failureShare = failureShare(now) + FAILURE_STEP * ((good ? 0 : 1) - failureShare(now));
    failureSeenAt = now;
  }

  /** Share of the latest requests that failed there, 0 to 1; forgotten by halves each second. */
  public double failureShare(long now) {
    return failureShare * Math.pow(0.5, Math.max(0, now - failureSeenAt) / 1_000.0);
  }

  /** Notes that a run took {@code ratio} of the time that was expected. */
  void ran(double ratio) {
    double bounded = Math.max(LEAST_SLOWNESS, Math.min(MOST_SLOWNESS, ratio));
    slowness += SLOWNESS_STEP * (bounded - slowness);
  }

  /** How much longer than expected runs take there; 1 is as expected. */
  public double slowness() {
    return slowness;
  }

  /** Sends nothing there until {@code until} unless there is no other. */
  public void avoidUntil(long until) {
    avoidUntil = Math.max(avoidUntil, until);
  }

  /** Forgets that the target was to be avoided, since it answered. */
  public void reached() {
    avoidUntil = 0;
  }

  boolean isAvoided(long now) {
    return now < avoidUntil;
  }

  /** Notes that the target has run {@code object}. */
  public void remember(long object) {
    objects.remove(object);
    objects.add(object);
    if (objects.size() > OBJECTS_REMEMBERED) {
      objects.remove(objects.iterator().next());
    }
  }

  /** True where this entry VM has had {@code object} run there lately. */
  public boolean knows(long object) {
    return objects.contains(object);
  }
}
