package org.sageladder.scenario.rule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sageladder.core.routing.Quota;
import org.sageladder.core.routing.Workspace;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.Ledger.Delivery;
import org.sageladder.standin.platform.Ledger.PlatformEvent;

/** Rules on API keys and quotas of workspaces. */
final class KeyRules {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** A workspace is starved if its success fraction, relative to that of all, is below this. */
  private static final double STARVATION_FRACTION = 0.25;

  /** With fewer requests than this, the success fraction of a workspace is not meaningful. */
  private static final int MIN_REQUESTS = 20;

  private KeyRules() {}

  /** Requests that exposed their key to a target or named a workspace that does not own the key. */
  static List<String> wrongWorkspace(SimulatedDay day) {
    List<String> violations = new ArrayList<>();
    for (Delivery delivery : day.ledger().deliveries()) {
      day.ledger()
          .credential(delivery.id())
          .filter(
              credential ->
                  delivery.keyShown() || !delivery.workspace().equals(credential.workspace()))
          .ifPresent(
              credential ->
                  violations.add(delivery + " carried a key of " + credential.workspace()));
    }
    return violations;
  }

  /** Requests that ran although no configuration ever contained their key. */
  static List<String> forgedKeys(SimulatedDay day) {
    List<String> violations = new ArrayList<>();
    for (Delivery delivery : day.ledger().deliveries()) {
      boolean forged =
          day.ledger()
              .credential(delivery.id())
              .filter(credential -> !credential.wasEverConfigured())
              .isPresent();
      if (forged && delivery.fate() == Ledger.Fate.TAKEN) {
        violations.add(delivery.id() + " ran with a key that was never issued");
      }
    }
    return violations;
  }

  /**
   * Requests that ran although they were sent, to a VM in contact, after the revocation of their
   * key was in force.
   */
  static List<String> revokedKeys(SimulatedDay day) {
    List<String> violations = new ArrayList<>();
    for (PlatformEvent event : day.ledger().events(PlatformEvent.Kind.KEY_TAKEN_AWAY)) {
      long inForceMillis = event.atMillis() + day.bounds().configurationApplyMillis();
      for (Delivery delivery : day.ledger().deliveries()) {
        boolean carriesKey =
            day.ledger()
                .credential(delivery.id())
                .filter(credential -> credential.key().equals(event.subject()))
                .isPresent();
        if (carriesKey
            && delivery.fate() == Ledger.Fate.TAKEN
            && isSentInContact(day, delivery.id(), inForceMillis)) {
          violations.add(delivery.id() + " ran after its key was revoked at " + event.atMillis());
        }
      }
    }
    return violations;
  }

  /** Returns true if the request carries no key, or one that was issued and never revoked. */
  static boolean isKeyValid(SimulatedDay day, String id) {
    Ledger.Credential credential = day.ledger().credential(id).orElse(null);
    if (credential == null) {
      return true;
    }
    boolean revoked =
        day.ledger().events(PlatformEvent.Kind.KEY_TAKEN_AWAY).stream()
            .anyMatch(event -> event.subject().equals(credential.key()));
    return credential.wasEverConfigured() && !revoked;
  }

  private static boolean isSentAfterRevocation(SimulatedDay day, String id, String key) {
    return day.ledger().events(PlatformEvent.Kind.KEY_TAKEN_AWAY).stream()
        .filter(event -> event.subject().equals(key))
        .anyMatch(
            event ->
                day.ledger()
                    .attempt(id)
                    .filter(attempt -> attempt.sentAtMillis() > event.atMillis())
                    .isPresent());
  }

  private static boolean isSentInContact(SimulatedDay day, String id, long afterMillis) {
    return day.ledger()
        .attempt(id)
        .filter(attempt -> attempt.sentAtMillis() > afterMillis)
        .filter(
            attempt ->
                day.isInContact(
                    attempt.entryVmIp(), attempt.sentAtMillis(), attempt.sentAtMillis()))
        .isPresent();
  }

  /** Workspaces that ran more requests in some window than their quota allows, over all VMs. */
  static List<String> exceededQuotas(SimulatedDay day) {
    List<String> violations = new ArrayList<>();
    Map<String, TreeMap<Long, Integer>> runTimesByWorkspace = new HashMap<>();
    for (Delivery delivery : day.ledger().deliveries()) {
      if (delivery.fate() == Ledger.Fate.TAKEN && !delivery.workspace().isEmpty()) {
        runTimesByWorkspace
            .computeIfAbsent(delivery.workspace(), name -> new TreeMap<>())
            .merge(delivery.at(), 1, Integer::sum);
      }
    }
    long settledMillis = quotaSettledMillis(day);
    runTimesByWorkspace.forEach(
        (name, times) -> {
          Workspace workspace = day.workspaces().get(name);
          if (workspace == null || !workspace.quota().isLimited()) {
            return;
          }
          double maxRuns = maxRequests(day, workspace.quota());
          for (long startMillis : times.tailMap(settledMillis).keySet()) {
            long endMillis = startMillis + day.bounds().quotaWindowMillis();
            int count =
                times.subMap(startMillis, endMillis).values().stream().mapToInt(n -> n).sum();
            if (count > maxRuns) {
              violations.add(
                  name + " ran " + count + " of " + maxRuns + " in the window from " + startMillis);
              return;
            }
          }
        });
    return violations;
  }

  /** Time from which quotas are checked: one window after the last lowered quota is in force. */
  private static long quotaSettledMillis(SimulatedDay day) {
    return day.ledger().events(PlatformEvent.Kind.QUOTA_LOWERED).stream()
        .mapToLong(
            m ->
                m.atMillis()
                    + day.bounds().configurationApplyMillis()
                    + day.bounds().quotaWindowMillis())
        .max()
        .orElse(0);
  }

  private static double maxRequests(SimulatedDay day, Quota quota) {
    double seconds = day.bounds().quotaWindowMillis() / MILLIS_PER_SECOND;
    double allowed = quota.ratePerSecond() * seconds + quota.burst();
    return allowed * (1 + day.bounds().quotaExcessFraction()) + day.bounds().quotaExcessRequests();
  }

  /**
   * Workspaces whose requests succeed far less often than those of all workspaces together, without
   * requests that were sent after the revocation of their key.
   */
  static List<String> starvedWorkspaces(SimulatedDay day) {
    Map<String, int[]> counts = new HashMap<>();
    int[] totalCounts = new int[2];
    for (String id : day.ledger().attempts().keySet()) {
      day.ledger()
          .credential(id)
          .filter(credential -> !credential.workspace().isEmpty())
          .filter(credential -> !isSentAfterRevocation(day, id, credential.key()))
          .ifPresent(
              credential -> {
                int succeeded =
                    day.ledger().answer(id).filter(a -> a.status() / 100 == 2).isPresent() ? 1 : 0;
                int[] workspaceCounts =
                    counts.computeIfAbsent(credential.workspace(), name -> new int[2]);
                workspaceCounts[0]++;
                workspaceCounts[1] += succeeded;
                totalCounts[0]++;
                totalCounts[1] += succeeded;
              });
    }
    List<String> violations = new ArrayList<>();
    counts.forEach(
        (name, workspaceCounts) -> {
          double successFraction = (double) workspaceCounts[1] / workspaceCounts[0];
          if (workspaceCounts[0] >= MIN_REQUESTS
              && successFraction < STARVATION_FRACTION * totalCounts[1] / totalCounts[0]) {
            violations.add(
                name
                    + " had successful requests: "
                    + workspaceCounts[1]
                    + " of "
                    + workspaceCounts[0]);
          }
        });
    return violations;
  }
}
