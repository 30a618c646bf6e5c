package org.sageladder.core.placing;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * How surely a target knows an object that this entry VM has not had run there.
 *
 * <p>Other entry VMs send requests as well, and nobody tells what they did. Whether a target knew
 * an object shows in the time of its run, so the beliefs are learnt, for each service: the homes
 * are unknowing when a day begins and after targets turned cold; the choices after them know what
 * the homes left over, which differs from minute to minute.
 */
final class Beliefs {
  private static final double REMEMBERED = 1;

  /** Before any run told: as low as after a cold start, when being wrong costs most. */
  private static final double HOME_AT_FIRST = 0.3;

  /** Until runs tell: a choice that nobody needed yet knows nothing. */
  private static final double REGION_HOME_AT_FIRST = 0.2;

  private static final double SECOND_AT_FIRST = 0.05;

  /** Part of a new run in a belief: about the last five count, of some dozen in a VM's minute. */
  private static final double STEP = 0.2;

  private final Map<String, EnumMap<Standing, Double>> services = new HashMap<>();

  /** How surely, 0 to 1. */
  double knows(String service, Standing standing) {
    return switch (standing) {
      case REMEMBERED -> REMEMBERED;
      case HOME -> learnt(service, standing, HOME_AT_FIRST);
      case REGION_HOME -> learnt(service, standing, REGION_HOME_AT_FIRST);
      case SECOND -> learnt(service, standing, SECOND_AT_FIRST);
      default -> 0;
    };
  }

  private double learnt(String service, Standing standing, double atFirst) {
    EnumMap<Standing, Double> known = services.get(service);
    return known == null ? atFirst : known.getOrDefault(standing, atFirst);
  }

  /** Takes what the time of a run showed of a target of that standing. */
  void saw(String service, Standing standing, boolean knew) {
    if (standing == Standing.REMEMBERED || standing == Standing.NONE) {
      return;
    }
    double before = knows(service, standing);
    services
        .computeIfAbsent(service, name -> new EnumMap<>(Standing.class))
        .put(standing, before + STEP * ((knew ? 1 : 0) - before));
  }
}
