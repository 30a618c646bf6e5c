package org.sageladder.core.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Refuses a part of the requests of an overloaded service, so that targets' queues stay short
 * enough for the others to end within their latency goals.
 *
 * <p>A service is judged by its targets' reports alone: without recent ones nothing is refused. A
 * request for which a slot is free is always sent.
 *
 * <pre>{@code
 * AdmissionPolicy policy = AdaptiveAdmission.create();
 * policy.judge(candidate, now);
 * }</pre>
 */
public final class AdaptiveAdmission implements AdmissionPolicy {
  private final Map<String, ServiceAdmission> services = new HashMap<>();
  private BiConsumer<String, ServiceStatus> stateListener = (service, status) -> {};

  private AdaptiveAdmission() {}

  /** Creates a policy that knows of no overload yet. */
  public static AdaptiveAdmission create() {
    return new AdaptiveAdmission();
  }

  /** Calls {@code listener} with a service's name whenever its overload begins or ends. */
  public void onStateChange(BiConsumer<String, ServiceStatus> listener) {
    stateListener = listener;
  }

  @Override
  public Verdict judge(Candidate candidate, long now) {
    ServiceAdmission service =
        services.computeIfAbsent(candidate.service(), name -> new ServiceAdmission());
    boolean wasOverloaded = service.status().isOverloaded();
    Verdict verdict = service.judge(candidate, now);
    ServiceStatus status = service.status();
    if (status.isOverloaded() != wasOverloaded) {
      stateListener.accept(candidate.service(), status);
    }
    return verdict;
  }

  /** Passes the name and state of each service to {@code consumer}. */
  public void forEachService(BiConsumer<String, ServiceStatus> consumer) {
    services.forEach((name, service) -> consumer.accept(name, service.status()));
  }

  /**
   * State of a service, for metrics.
   *
   * @param isOverloaded true if requests of the service may be refused
   * @param overloadedSinceMillis when the overload began; 0 if there is none
   * @param load load of its targets at the last decision
   * @param boundMillis wait above which requests of the highest priority are refused
   */
  public record ServiceStatus(
      boolean isOverloaded, long overloadedSinceMillis, ServiceLoad load, double boundMillis) {}
}
