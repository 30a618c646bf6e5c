package org.sageladder.core.placing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * State of one target as estimated by this entry VM: its registration, load and recent behavior.
 *
 * <p>The load is the sum of this VM's own requests, which are counted exactly, and the requests of
 * other VMs. The target reports these in its answers, and a report's weight decreases with its age.
 */
public final class TargetState {
  /**
   * Objects remembered for each target. Targets cache about 25 objects. With slightly fewer, a warm
   * target may be assumed cold, which costs a warm run on another target, but a cold target is not
   * assumed warm, which would cost a cold run here.
   */
  private static final int MAX_REMEMBERED_OBJECTS = 24;

  /**
   * Half-life of a load report's difference from the mean, in milliseconds: about one run of a
   * request.
   */
  private static final double LOAD_HALF_LIFE_MILLIS = 400;

  /** Number of recent reports that the mean load of other entry VMs covers. */
  private static final int LOAD_REPORT_WINDOW = 10;

  /** Weight of the region's estimate, as a number of the target's own reports. */
  private static final double REGION_PRIOR_WEIGHT_REPORTS = 2;

  /** Weight of a new outcome in the share of failures; about the last ten outcomes count. */
  private static final double FAILURE_SMOOTHING = 0.1;

  /** Weight of a new run's time in the slowness; about the last five runs count. */
  private static final double SLOWNESS_SMOOTHING = 0.2;

  private static final double MIN_SLOWNESS = 0.5;
  private static final double MAX_SLOWNESS = 12;

  private final long idHash;
  private final RegionLoad regionLoad;
  private TargetFacts facts;
  private int incarnationHash;
  private boolean isNewlyJoined;
  private boolean hasHadRequest;
  private int inFlight;
  private double peerLoad;
  private final RunningMean meanPeerLoad = RunningMean.ofLast(LOAD_REPORT_WINDOW);
  private long lastReportAtMillis;
  private final TargetContact contact;
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
    this.incarnationHash = facts.incarnation().shortHash();
    this.coldUntilMillis = now + facts.remainingColdMillis();
    this.isNewlyJoined = isNewlyJoined;
    this.contact = new TargetContact(now);
  }

  /** The target's registration. */
  public TargetFacts facts() {
    return facts;
  }

  /** Hash of the target's id, for rendezvous hashing. */
  long idHash() {
    return idHash;
  }

  /** Hash of the target's incarnation; see {@link TargetTable#findByIncarnationHash}. */
  public int incarnationHash() {
    return incarnationHash;
  }

  void update(TargetFacts newer, long now) {
    if (!newer.incarnation().equals(facts.incarnation())) {
      incarnationHash = newer.incarnation().shortHash();
    }
    facts = newer;
    coldUntilMillis = now + newer.remainingColdMillis();
    if (newer.remainingColdMillis() > 0) {
      recentObjects.clear();
    }
  }

  /** Treats the target as cold at least until {@code until}. */
  public void markColdUntil(long until) {
    if (until > coldUntilMillis) {
      coldUntilMillis = until;
      recentObjects.clear();
    }
  }

  /**
   * Returns true if the target can handle only a few requests a second, or may have restarted so
   * recently that this is possible.
   */
  public boolean isCold(long now) {
    return now < coldUntilMillis || contact.mayBeCold(now, inFlight);
  }

  /** Time of the last answer from the target, or of its registration before the first one. */
  public long lastAnswerMillis() {
    return contact.lastAnswerMillis();
  }

  /**
   * Records that a connection to the target ended while an answer was due, or could not be opened.
   *
   * @param aliveAt when the target was last known to be alive
   * @param coldMillis time for which a target of the service is cold after its start
   * @return true if the target was not already assumed to have restarted
   */
  public boolean recordContactLost(long aliveAt, long now, long coldMillis) {
    return contact.recordLost(aliveAt, now, coldMillis);
  }

  /** Records a connection over which a request is to be sent. */
  public void recordConnection(long openedAt) {
    contact.recordConnection(openedAt);
  }

  /**
   * Records that the target answered a request.
   *
   * @param openedAt when the connection was opened
   * @param sentAt when the request was sent
   * @return true if this shows that the target has not restarted, after it was assumed to have
   */
  public boolean recordContact(long openedAt, long sentAt, long now) {
    return contact.recordAnswer(openedAt, sentAt, now);
  }

  /** Requests of this entry VM that are in flight at the target. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns true if this entry VM has sent a request to the target. */
  boolean hasHadRequest() {
    return hasHadRequest;
  }

  /**
   * Returns true if it joined targets that already had requests, and has had none from this entry
   * VM.
   */
  boolean isNewlyJoined() {
    return isNewlyJoined;
  }

  /** Counts a request sent to the target. */
  public void startRequest() {
    isNewlyJoined = false;
    hasHadRequest = true;
    inFlight++;
    regionLoad.addOwnRequests(1);
  }

  /** Counts a request that has ended at the target, with any result. */
  public void endRequest() {
    inFlight--;
    regionLoad.addOwnRequests(-1);
  }

  /**
   * Records the load that the target reported in an answer to this or another entry VM. If the
   * request of that answer was this VM's, it must have been counted by {@link #endRequest} before.
   *
   * @param observedAtMillis when the answer arrived; a report older than the last is ignored
   */
  public void recordReport(LoadReport load, long observedAtMillis) {
    if (meanPeerLoad.count() > 0 && observedAtMillis < lastReportAtMillis) {
      return;
    }
    peerLoad = Math.max(0, load.running() + load.waiting() - inFlight);
    meanPeerLoad.add(peerLoad);
    lastReportAtMillis = observedAtMillis;
    regionLoad.recordReport(peerLoad, facts.slots(), observedAtMillis);
  }

  /**
   * Returns the estimated number of requests at the target, from all entry VMs.
   *
   * <p>An old report decays towards the mean, not towards zero. Where many VMs share a target, each
   * gets its reports rarely, and a target assumed to be idle between two reports would be
   * overloaded by all of them.
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

  /** Returns true if the target has reported its load in the last {@code millis}. */
  boolean hasReportWithin(long millis, long now) {
    return meanPeerLoad.count() > 0 && now - lastReportAtMillis <= millis;
  }

  /** Records whether a request to the target succeeded. */
  public void recordOutcome(boolean isSuccess, long now) {
    failureShare =
        failureShare(now) + FAILURE_SMOOTHING * ((isSuccess ? 0 : 1) - failureShare(now));
    lastOutcomeAtMillis = now;
  }

  /**
   * Returns the share of recent requests to the target that failed, 0 to 1; it halves each second.
   */
  public double failureShare(long now) {
    return failureShare * Math.pow(0.5, Math.max(0, now - lastOutcomeAtMillis) / 1_000.0);
  }

  /** Records that a run took {@code ratio} times the expected time. */
  void recordRunTimeRatio(double ratio) {
    double boundedRatio = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, ratio));
    slowness += SLOWNESS_SMOOTHING * (boundedRatio - slowness);
  }

  /** Returns the ratio of actual to expected run times; 1 is as expected. */
  public double slowness() {
    return slowness;
  }

  /** Avoids the target until {@code until} unless there is no other. */
  public void avoidUntil(long until) {
    avoidUntilMillis = Math.max(avoidUntilMillis, until);
  }

  /** Stops avoiding the target, since it answered. */
  public void clearAvoidance() {
    avoidUntilMillis = 0;
  }

  /** Returns true if the target did not accept a connection a moment ago. */
  public boolean isAvoided(long now) {
    return now < avoidUntilMillis;
  }

  /** Records that the target has run {@code object}. */
  public void recordObject(long object) {
    recentObjects.remove(object);
    recentObjects.add(object);
    if (recentObjects.size() > MAX_REMEMBERED_OBJECTS) {
      recentObjects.remove(recentObjects.iterator().next());
    }
  }

  /** Returns true if this entry VM recently had {@code object} run on the target. */
  public boolean hasCached(long object) {
    return recentObjects.contains(object);
  }
}
