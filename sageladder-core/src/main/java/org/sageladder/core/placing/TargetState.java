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
  private static final int MAX_REMEMBERED_OBJECTS = 24;

  /**
   * What a load report says beyond the mean counts half after this time: about one run of a
   * request, in milliseconds.
   */
  private static final double LOAD_HALF_LIFE_MILLIS = 400;

  /** Reports that count in the mean of the load of others. */
  private static final int LOAD_REPORT_WINDOW = 10;

  /** Reports of the target itself that weigh as much as what its region's targets reported. */
  private static final double REGION_PRIOR_WEIGHT_REPORTS = 2;

  /** Part of a new outcome in the share of failures; about the last ten outcomes count. */
  private static final double FAILURE_SMOOTHING = 0.1;

  /** Part of a new run's time in the slowness; about the last five runs count. */
  private static final double SLOWNESS_SMOOTHING = 0.2;

  private static final double MIN_SLOWNESS = 0.5;
  private static final double MAX_SLOWNESS = 12;

  private final long idHash;
  private final RegionLoad regionLoad;
  private TargetFacts facts;
  private boolean isNewlyJoined;
  private boolean hasHadRequest;
  private int inFlight;
  private double peerLoad;
  private final RunningMean meanPeerLoad = RunningMean.ofLast(LOAD_REPORT_WINDOW);
  private long lastReportAtMillis;
  private long coldUntilMillis;
  private double failureShare;
  private long lastOutcomeAtMillis;
  private double slowness = 1;
  private long avoidUntilMillis;
  // Oldest first.
  private final Set<Long> recentObjects = new LinkedHashSet<>();

  TargetState(TargetFacts facts, RegionLoad regionLoad, long now, boolean isNewlyJoined) {
    this.facts = facts;
    this.regionLoad = regionLoad;
    this.idHash = Hashing.komihash5_0().hashCharsToLong(facts.id());
    this.coldUntilMillis = now + facts.remainingColdMillis();
    this.isNewlyJoined = isNewlyJoined;
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
    coldUntilMillis = now + newer.remainingColdMillis();
    if (newer.remainingColdMillis() > 0) {
      recentObjects.clear();
    }
  }

  /** Treats the target as cold until {@code until} at least. */
  public void markColdUntil(long until) {
    if (until > coldUntilMillis) {
      coldUntilMillis = until;
      recentObjects.clear();
    }
  }

  /** True where the target bears only a few requests a second. */
  public boolean isCold(long now) {
    return now < coldUntilMillis;
  }

  /** Requests of this entry VM that are there now. */
  public int inFlight() {
    return inFlight;
  }

  /** True where this entry VM has sent a request there. */
  boolean hasHadRequest() {
    return hasHadRequest;
  }

  /** True where it joined others that had work, and has had no request from this entry VM. */
  boolean isNewlyJoined() {
    return isNewlyJoined;
  }

  /** Counts a request that is sent there. */
  public void startRequest() {
    isNewlyJoined = false;
    hasHadRequest = true;
    inFlight++;
    regionLoad.addOwnRequests(1);
  }

  /** Counts a request that has ended there, however. */
  public void endRequest() {
    inFlight--;
    regionLoad.addOwnRequests(-1);
  }

  /**
   * Records the load that the target reported in an answer; that answer's request has ended
   * already.
   */
  public void recordReport(LoadReport load, long now) {
    peerLoad = Math.max(0, load.running() + load.waiting() - inFlight);
    meanPeerLoad.add(peerLoad);
    lastReportAtMillis = now;
    regionLoad.recordReport(peerLoad, facts.slots());
  }

  /**
   * Requests believed to be there now, of all entry VMs.
   *
   * <p>An old report fades into the mean, not into nothing: where many VMs share a target each
   * hears of it seldom, and a target believed idle between two reports would be crowded by all of
   * them.
   */
  public double load(long now) {
    double ageMillis = Math.max(0, now - lastReportAtMillis);
    double freshness = Math.pow(0.5, ageMillis / LOAD_HALF_LIFE_MILLIS);
    long reportCount = meanPeerLoad.count();
    double reportWeight = Math.min(reportCount, LOAD_REPORT_WINDOW);
    double expectedPeerLoad =
        (reportWeight * meanPeerLoad.value()
                + REGION_PRIOR_WEIGHT_REPORTS * regionLoad.estimatePeerLoad(facts.slots()))
            / (reportWeight + REGION_PRIOR_WEIGHT_REPORTS);
    return inFlight
        + expectedPeerLoad
        + (reportCount == 0 ? 0 : (peerLoad - expectedPeerLoad) * freshness);
  }

  /** True where the target has reported its load in the last {@code millis}. */
  boolean hasReportWithin(long millis, long now) {
    return meanPeerLoad.count() > 0 && now - lastReportAtMillis <= millis;
  }

  /** Notes that the target served or failed a request. */
  public void recordOutcome(boolean isSuccess, long now) {
    failureShare =
        failureShare(now) + FAILURE_SMOOTHING * ((isSuccess ? 0 : 1) - failureShare(now));
    lastOutcomeAtMillis = now;
  }

  /** Share of the latest requests that failed there, 0 to 1; forgotten by halves each second. */
  public double failureShare(long now) {
    return failureShare * Math.pow(0.5, Math.max(0, now - lastOutcomeAtMillis) / 1_000.0);
  }

  /** Notes that a run took {@code ratio} of the time that was expected. */
  void recordRunTimeRatio(double ratio) {
    double boundedRatio = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, ratio));
    slowness += SLOWNESS_SMOOTHING * (boundedRatio - slowness);
  }

  /** How much longer than expected runs take there; 1 is as expected. */
  public double slowness() {
    return slowness;
  }

  /** Sends nothing there until {@code until} unless there is no other. */
  public void avoidUntil(long until) {
    avoidUntilMillis = Math.max(avoidUntilMillis, until);
  }

  /** Forgets that the target was to be avoided, since it answered. */
  public void clearAvoidance() {
    avoidUntilMillis = 0;
  }

  boolean isAvoided(long now) {
    return now < avoidUntilMillis;
  }

  /** Notes that the target has run {@code object}. */
  public void recordObject(long object) {
    recentObjects.remove(object);
    recentObjects.add(object);
    if (recentObjects.size() > MAX_REMEMBERED_OBJECTS) {
      recentObjects.remove(recentObjects.iterator().next());
    }
  }

  /** True where this entry VM has had {@code object} run there lately. */
  public boolean hasCached(long object) {
    return recentObjects.contains(object);
  }
}
