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

  /** A workspace is starved where it is served that much less often than all. */
  private static final double STARVATION_FRACTION = 0.25;

  /** Requests below which a workspace's share served is chance. */
  private static final int MIN_REQUESTS = 20;

  private KeyRules() {}

  /** Targets that were shown a key, or were named another workspace than the key's. */
  static List<String> wrongWorkspace(SimulatedDay day) {
    List<String> broken = new ArrayList<>();
    for (Delivery delivery : day.ledger().deliveries()) {
      day.ledger()
          .credential(delivery.id())
          .filter(bearer -> delivery.keyShown() || !delivery.workspace().equals(bearer.workspace()))
          .ifPresent(bearer -> broken.add(delivery + " bore a key of " + bearer.workspace()));
    }
    return broken;
  }

  /** Requests that ran though no configuration ever held their key. */
  static List<String> forgedKeys(SimulatedDay day) {
    List<String> broken = new ArrayList<>();
    for (Delivery delivery : day.ledger().deliveries()) {
      boolean forged =
          day.ledger()
              .credential(delivery.id())
              .filter(bearer -> !bearer.wasEverConfigured())
              .isPresent();
      if (forged && delivery.fate() == Ledger.Fate.TAKEN) {
        broken.add(delivery.id() + " ran with a key that nobody ever held");
      }
    }
    return broken;
  }

  /** Requests sent by machines in touch after their key's end was in force that reach a target. */
  static List<String> revokedKeys(SimulatedDay day) {
    List<String> broken = new ArrayList<>();
    for (PlatformEvent moment : day.ledger().events(PlatformEvent.Kind.KEY_TAKEN_AWAY)) {
      long inForce = moment.atMillis() + day.bounds().configurationApplyMillis();
      for (Delivery delivery : day.ledger().deliveries()) {
        boolean bears =
            day.ledger()
                .credential(delivery.id())
                .filter(b -> b.key().equals(moment.subject()))
                .isPresent();
        if (bears
            && delivery.fate() == Ledger.Fate.TAKEN
            && isSentInContact(day, delivery.id(), inForce)) {
          broken.add(delivery.id() + " ran after its key was taken away at " + moment.atMillis());
        }
      }
    }
    return broken;
  }

  /** True where the request bears no key, or one that all configurations so far have held. */
  static boolean isKeyValid(SimulatedDay day, String id) {
    Ledger.Credential bearer = day.ledger().credential(id).orElse(null);
    if (bearer == null) {
      return true;
    }
    boolean taken =
        day.ledger().events(PlatformEvent.Kind.KEY_TAKEN_AWAY).stream()
            .anyMatch(moment -> moment.subject().equals(bearer.key()));
    return bearer.wasEverConfigured() && !taken;
  }

  private static boolean isSentInContact(SimulatedDay day, String id, long afterMillis) {
    return day.ledger()
        .attempt(id)
        .filter(asked -> asked.sentAtMillis() > afterMillis)
        .filter(
            asked -> day.isInContact(asked.entryVmIp(), asked.sentAtMillis(), asked.sentAtMillis()))
        .isPresent();
  }

  /** More requests of a workspace in some window than its quota allows, over all machines. */
  static List<String> exceededQuotas(SimulatedDay day) {
    List<String> broken = new ArrayList<>();
    Map<String, TreeMap<Long, Integer>> ran = new HashMap<>();
    for (Delivery delivery : day.ledger().deliveries()) {
      if (delivery.fate() == Ledger.Fate.TAKEN && !delivery.workspace().isEmpty()) {
        ran.computeIfAbsent(delivery.workspace(), name -> new TreeMap<>())
            .merge(delivery.at(), 1, Integer::sum);
      }
    }
    long settled = quotaSettledMillis(day);
    ran.forEach(
        (name, times) -> {
          Workspace workspace = day.workspaces().get(name);
          if (workspace == null || !workspace.quota().isLimited()) {
            return;
          }
          double most = maxRequests(day, workspace.quota());
          for (long from : times.tailMap(settled).keySet()) {
            long end = from + day.bounds().quotaWindowMillis();
            int count = times.subMap(from, end).values().stream().mapToInt(n -> n).sum();
            if (count > most) {
              broken.add(name + " ran " + count + " of " + most + " in the window from " + from);
              return;
            }
          }
        });
    return broken;
  }

  /** A lower quota binds one window after it is in force. */
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

  /** Workspaces within their quotas whose requests are served far less often than all. */
  static List<String> starvedWorkspaces(SimulatedDay day) {
    Map<String, int[]> counts = new HashMap<>();
    int[] all = new int[2];
    for (String id : day.ledger().attempts().keySet()) {
      day.ledger()
          .credential(id)
          .filter(bearer -> !bearer.workspace().isEmpty())
          .ifPresent(
              bearer -> {
                int served =
                    day.ledger().answer(id).filter(a -> a.status() / 100 == 2).isPresent() ? 1 : 0;
                int[] own = counts.computeIfAbsent(bearer.workspace(), name -> new int[2]);
                own[0]++;
                own[1] += served;
                all[0]++;
                all[1] += served;
              });
    }
    List<String> broken = new ArrayList<>();
    counts.forEach(
        (name, own) -> {
          double share = (double) own[1] / own[0];
          if (own[0] >= MIN_REQUESTS && share < STARVATION_FRACTION * all[1] / all[0]) {
            broken.add(name + " was served " + own[1] + " of " + own[0]);
          }
        });
    return broken;
  }
}
