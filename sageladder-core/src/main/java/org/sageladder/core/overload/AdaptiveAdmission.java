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
    boolean wasOverloaded = service.isOverloaded();
    Verdict verdict = service.judge(candidate, now);
    boolean isOverloaded = service.isOverloaded();
    if (isOverloaded != wasOverloaded) {
      stateListener.accept(candidate.service(), new ServiceStatus(isOverloaded, candidate.load()));
    }
    return verdict;
  }

  /**
   * State of a service when its overload begins or ends.
   *
   * @param isOverloaded true if requests of the service may be refused
   * @param load load of its targets
   */
  public record ServiceStatus(boolean isOverloaded, ServiceLoad load) {}
}
