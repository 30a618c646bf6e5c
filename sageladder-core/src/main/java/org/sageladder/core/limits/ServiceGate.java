package org.sageladder.core.limits;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.RequestClass;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.HoldingGuard;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;
import org.sageladder.core.time.TimeSource;

/**
 * Admission control of one service in one entry VM: counts the slots in use on the targets that
 * this VM holds and queues requests while no slot is free. The queue is bounded in length and
 * waiting time.
 *
 * <pre>{@code
 * ServiceGate gate = ServiceGate.create(customer, service, time, Scheduler.of(executor), events);
 * gate.updateHoldings(view.holdings().stream().filter(h -> h.holder().equals(self)).toList());
 * gate.request(new AdmissionRequest("r-17", deadlineNanos, "", ""), admission -> send(admission));
 * }</pre>
 *
 * <p>Thread-safe. One lock guards the whole state. Callbacks are never called while it is held, and
 * the only lock taken inside it is that of the retry budget, so it comes last in any other lock
 * order.
 */
public final class ServiceGate implements Gate, AutoCloseable {
  /**
   * Weight of a refused request in the offered rate. A look-up answer names four entry VMs, and a
   * client that is refused by one tries the next: a request that finds no slot anywhere is refused
   * four times and so counts as one.
   */
  private static final double REFUSED_DEMAND_WEIGHT = 1.0 / 4;

  private static final String TAKEN_OVER_DETAIL =
      "the targets were taken over from another entry VM, which may have used their shift cap";

  private static final double NON_REPEATABLE_RETRY_FRACTION = 0.1;
  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
  private static final long MIN_RETRY_AFTER_NANOS = Duration.ofMillis(10).toNanos();
  private static final long MIN_QUEUE_CHECK_DELAY_NANOS = Duration.ofMillis(1).toNanos();

  private final String customer;
  private final TimeSource time;
  private final Scheduler scheduler;
  private final EventSink events;
  private final QueueBudget queueBudget;

  private final RetryBudget retryBudget;

  private final Object lock = new Object();
  private final TargetPool pool;
  private final ArrayDeque<WaitingRequest> queue = new ArrayDeque<>();
  private boolean closed;
  private boolean queueCheckScheduled;
  private final SmoothedRate offeredRate;
  private long offeredCount;
  private long admittedCount;
  private long refusedCount;

  private ServiceGate(
      String customer,
      Contract.Service service,
      TimeSource time,
      Scheduler scheduler,
      EventSink events,
      QueueBudget budget,
      HoldingGuard guard) {
    this.customer = customer;
    this.pool = new TargetPool(service, guard, time.nanos());
    this.time = time;
    this.scheduler = scheduler;
    this.events = events;
    this.queueBudget = budget;
    this.retryBudget = RetryBudget.of(retryFraction(service));
    this.offeredRate = new SmoothedRate(time.nanos());
  }

  /**
   * Fraction of retries allowed. A request that must not run twice is retried only where a target
   * refused it before running it; such retries are limited to a tenth, whatever retry fraction the
   * contract states.
   */
  private static double retryFraction(Contract.Service service) {
    return service.repeatable() ? service.retryFraction() : NON_REPEATABLE_RETRY_FRACTION;
  }

  @Override
  public boolean tryAcquireRetry() {
    return retryBudget.tryAcquireRetry();
  }

  /** Counts of first attempts, retries and denied retries of this service in this entry VM. */
  public RetryBudget.Counts retryCounts() {
    return retryBudget.counts();
  }

  /** Creates a gate that holds no targets yet and so refuses every request. */
  public static ServiceGate create(
      String customer,
      Contract.Service service,
      TimeSource time,
      Scheduler scheduler,
      EventSink events) {
    return create(
        customer,
        service,
        time,
        scheduler,
        events,
        QueueBudget.of(Integer.MAX_VALUE),
        HoldingGuard.unrestricted());
  }

  /**
   * Creates a gate that shares the queue limit of its entry VM.
   *
   * @param budget limit on the requests queued at all gates of the entry VM together
   * @param guard limits how many slots of each holding this entry VM may use now
   */
  public static ServiceGate create(
      String customer,
      Contract.Service service,
      TimeSource time,
      Scheduler scheduler,
      EventSink events,
      QueueBudget budget,
      HoldingGuard guard) {
    return new ServiceGate(customer, service, time, scheduler, events, budget, guard);
  }

  /**
   * Replaces the targets that this VM holds; none of them counts as taken over from another entry
   * VM.
   *
   * <p>Targets that are no longer listed get no new requests; their slots in use stay valid until
   * released.
   */
  public void updateHoldings(List<Holding> holdings) {
    updateHoldings(holdings, Set.of());
  }

  /**
   * Replaces the targets that this VM holds.
   *
   * @param takenOver names of the targets that another entry VM, or an earlier incarnation of this
   *     one, held until now; they get requests one window later, or as soon as {@link
   *     #importHistory} has their history
   */
  public void updateHoldings(List<Holding> holdings, Set<String> takenOver) {
    List<Decision> decisions = new ArrayList<>();
    synchronized (lock) {
      pool.updateHoldings(holdings, takenOver, time.nanos());
      processQueue(decisions);
    }
    deliver(decisions);
  }

  /**
   * Returns what this gate counted of a target that {@link #updateHoldings} took from it, to be
   * sent to the entry VM that holds the target now. Empty if nothing was counted or the history has
   * already been exported.
   */
  public Optional<TargetHistory> exportHistory(String target) {
    synchronized (lock) {
      return Optional.ofNullable(pool.exportHistory(target, time.nanos(), time.wallMillis()));
    }
  }

  /**
   * Takes over the counts of the entry VM that held a target before. Repeated calls have no effect.
   *
   * @return true if the target is held here and was still waiting for its history
   */
  public boolean importHistory(TargetHistory history) {
    List<Decision> decisions = new ArrayList<>();
    boolean imported;
    synchronized (lock) {
      imported = pool.importHistory(history, time.nanos(), time.wallMillis());
      processQueue(decisions);
    }
    deliver(decisions);
    return imported;
  }

  /** Puts the limits of a new contract revision in force; queued requests keep their positions. */
  public void updateService(Contract.Service newService) {
    List<Decision> decisions = new ArrayList<>();
    retryBudget.updateFraction(retryFraction(newService));
    synchronized (lock) {
      pool.updateService(newService, time.nanos());
      processQueue(decisions);
    }
    deliver(decisions);
  }

  /**
   * Processes a load report of a target. Reports may be late or wrong.
   *
   * @param reportedBusy slots in use according to the report
   * @param reportedSlots slots that the target has according to the report
   * @param draining true if the target announced that it is about to stop
   * @param nowNanos monotonic time at which the report was received
   */
  public void onLoadReport(
      String target, int reportedBusy, int reportedSlots, boolean draining, long nowNanos) {
    synchronized (lock) {
      TargetSlots slots = pool.target(target);
      if (slots == null) {
        return;
      }
      slots.onLoadReport(reportedBusy, reportedSlots, nowNanos);
      if (draining) {
        slots.markDraining();
      }
    }
  }

  @Override
  public Cancellable request(AdmissionRequest request, Consumer<Admission> onDecision) {
    List<Decision> decisions = new ArrayList<>(1);
    WaitingRequest waiting = new WaitingRequest(request, onDecision, waitDeadlineNanos(request));
    synchronized (lock) {
      offeredCount++;
      admitOrEnqueue(waiting, decisions);
    }
    deliver(decisions);
    return () -> cancel(waiting);
  }

  private long waitDeadlineNanos(AdmissionRequest request) {
    long queueLimitNanos = time.nanos() + service().queueWait().toNanos();
    return queueLimitNanos - request.deadlineNanos() < 0
        ? queueLimitNanos
        : request.deadlineNanos();
  }

  private void admitOrEnqueue(WaitingRequest waiting, List<Decision> decisions) {
    if (closed) {
      refuse(waiting, ResultCode.STOPPING, "this entry VM is stopping", decisions);
      return;
    }
    if (hasNoTargetFor(waiting)) {
      refuse(
          waiting,
          ResultCode.NO_TARGET,
          "this gate holds no target that may run the request",
          decisions);
      return;
    }
    if (pool.earliestWorkNanos(time.nanos()) - waiting.waitDeadlineNanos >= 0) {
      refuse(waiting, ResultCode.SHIFT_CAP, TAKEN_OVER_DETAIL, decisions);
      return;
    }
    TargetPool.Choice choice = pool.selectTarget(waiting.request.excludedTarget(), time.nanos());
    if (queue.isEmpty() && choice.target() != null) {
      admit(waiting, choice.target(), decisions);
      return;
    }
    if (queue.size() >= pool.heldTargetCount() * pool.service().queuePerTarget()) {
      String detail = queue.size() + " requests are already queued";
      refuse(
          waiting,
          choice.isCapped() ? ResultCode.SHIFT_CAP : ResultCode.QUEUE_FULL,
          detail,
          decisions);
      return;
    }
    if (!queueBudget.tryAcquire(pool.service().requestClass())) {
      refuse(
          waiting,
          shedCode(),
          queueBudget.waitingCount() + " requests are queued on this entry VM",
          decisions);
      return;
    }
    waiting.capped = choice.isCapped();
    queue.add(waiting);
    scheduleQueueCheck();
  }

  private ResultCode shedCode() {
    boolean background = pool.service().requestClass() == RequestClass.BACKGROUND;
    return background ? ResultCode.BACKGROUND_SHED : ResultCode.QUEUE_FULL;
  }

  private boolean hasNoTargetFor(WaitingRequest waiting) {
    return !pool.hasTargetOtherThan(waiting.request.excludedTarget());
  }

  private void admit(WaitingRequest waiting, TargetSlots target, List<Decision> decisions) {
    pool.acquireSlot(target);
    admittedCount++;
    offeredRate.add(1, time.nanos());
    if (waiting.request.excludedTarget().isEmpty()) {
      retryBudget.recordFirstAttempt();
    }
    waiting.decided = true;
    decisions.add(new Decision(waiting, new Admission.Admitted(new HeldSlot(target))));
  }

  private void refuse(
      WaitingRequest waiting, ResultCode code, String detail, List<Decision> decisions) {
    refusedCount++;
    offeredRate.add(REFUSED_DEMAND_WEIGHT, time.nanos());
    waiting.decided = true;
    Result.NotRun result = new Result.NotRun(code, retryAfter(code), detail);
    decisions.add(new Decision(waiting, new Admission.Refused(result)));
  }

  private Duration retryAfter(ResultCode code) {
    if (code == ResultCode.STOPPING) {
      return Duration.ofMillis(1);
    }
    return timeUntilSlot(code == ResultCode.SHIFT_CAP);
  }

  @Override
  public Duration retryAfter() {
    synchronized (lock) {
      return timeUntilSlot(false);
    }
  }

  /**
   * Estimates when one more request would get a slot: after the queued requests, and not before the
   * shift cap allows one more, an ejection ends or the wait for a taken-over target is over.
   */
  private Duration timeUntilSlot(boolean isCapped) {
    long now = time.nanos();
    double perSecond = pool.ceilingPerSecond(now);
    long wait = perSecond > 0 ? (long) (NANOS_PER_SECOND * (queue.size() + 1) / perSecond) : 0;
    if (isCapped) {
      wait = Math.max(wait, pool.nextAdmissionNanos(now) - now);
    } else if (pool.usableSlots(now) == 0) {
      wait = Math.max(wait, pool.nextChangeNanos(now) - now);
    }
    return Duration.ofNanos(Math.max(MIN_RETRY_AFTER_NANOS, wait));
  }

  /**
   * Refuses the queued requests whose wait limit has passed and gives free slots to the others,
   * oldest first.
   *
   * <p>If no target can take a request that may go to any target, none can take the requests behind
   * it either. The result is reused for them, since each freed slot would otherwise cost a scan of
   * all targets for every queued request.
   */
  private void processQueue(List<Decision> decisions) {
    long now = time.nanos();
    TargetPool.Choice noTargetChoice = null;
    Iterator<WaitingRequest> oldestFirst = queue.iterator();
    while (oldestFirst.hasNext()) {
      WaitingRequest waiting = oldestFirst.next();
      if (waiting.waitDeadlineNanos - now <= 0) {
        removeFromQueue(oldestFirst);
        ResultCode code = waiting.capped ? ResultCode.SHIFT_CAP : ResultCode.QUEUE_DEADLINE;
        refuse(waiting, code, "no slot became free within the wait limit", decisions);
        continue;
      }
      if (hasNoTargetFor(waiting)) {
        removeFromQueue(oldestFirst);
        refuse(
            waiting,
            ResultCode.NO_TARGET,
            "this gate holds no target that may run the request",
            decisions);
        continue;
      }
      String excludedTarget = waiting.request.excludedTarget();
      TargetPool.Choice choice =
          noTargetChoice == null ? pool.selectTarget(excludedTarget, now) : noTargetChoice;
      waiting.capped = choice.isCapped();
      if (choice.target() != null) {
        removeFromQueue(oldestFirst);
        admit(waiting, choice.target(), decisions);
      } else if (excludedTarget.isEmpty()) {
        noTargetChoice = choice;
      }
    }
    scheduleQueueCheck();
  }

  private void removeFromQueue(Iterator<WaitingRequest> position) {
    position.remove();
    queueBudget.release();
  }

  /**
   * Schedules the next queue check: when a wait limit passes, a cap may allow more or an ejection
   * ends.
   */
  private void scheduleQueueCheck() {
    if (queueCheckScheduled || queue.isEmpty()) {
      return;
    }
    long now = time.nanos();
    long earliest = pool.nextChangeNanos(now) - now;
    for (WaitingRequest waiting : queue) {
      earliest = Math.min(earliest, waiting.waitDeadlineNanos - now);
    }
    queueCheckScheduled = true;
    scheduler.runAfter(
        Duration.ofNanos(Math.max(MIN_QUEUE_CHECK_DELAY_NANOS, earliest)), this::checkQueue);
  }

  private void checkQueue() {
    List<Decision> decisions = new ArrayList<>();
    synchronized (lock) {
      queueCheckScheduled = false;
      processQueue(decisions);
    }
    deliver(decisions);
  }

  private boolean cancel(WaitingRequest waiting) {
    synchronized (lock) {
      if (waiting.decided) {
        return false;
      }
      waiting.decided = true;
      if (queue.remove(waiting)) {
        queueBudget.release();
      }
      return true;
    }
  }

  private void release(TargetSlots target, Admission.Completion completion) {
    List<Decision> decisions = new ArrayList<>();
    synchronized (lock) {
      pool.releaseSlot(target, completion, time.nanos());
      processQueue(decisions);
    }
    deliver(decisions);
  }

  private void deliver(List<Decision> decisions) {
    for (Decision decision : decisions) {
      recordEvent(decision);
      try {
        decision.waiting.onDecision.accept(decision.admission);
      } catch (RuntimeException e) {
        onDeliveryFailed(decision, e);
      }
    }
  }

  /** The other requests get their decisions whatever became of this one. */
  private void onDeliveryFailed(Decision decision, RuntimeException cause) {
    String request = decision.waiting.request.requestId();
    String subject = service().name();
    events.record(
        EventKind.FAILED, request, customer, subject, 0, "decision not delivered: " + cause);
    if (decision.admission instanceof Admission.Admitted admitted) {
      admitted.slot().release(Admission.Completion.UNUSED);
    }
  }

  private void recordEvent(Decision decision) {
    String request = decision.waiting.request.requestId();
    if (decision.admission instanceof Admission.Admitted admitted) {
      events.record(
          EventKind.ADMITTED, request, customer, admitted.slot().target().target(), 0, "");
    } else if (decision.admission instanceof Admission.Refused refused) {
      String reason = refused.result().code() + ": " + refused.result().detail();
      events.record(EventKind.REFUSED, request, customer, service().name(), 0, reason);
    }
  }

  /** The limits in force. */
  public Contract.Service service() {
    synchronized (lock) {
      return pool.service();
    }
  }

  /** Slots in use, including those of targets that are no longer held. */
  public int busySlots() {
    synchronized (lock) {
      return pool.busySlots();
    }
  }

  /** Requests in flight on {@code target} that were admitted by this gate. */
  public int inFlight(String target) {
    synchronized (lock) {
      TargetSlots known = pool.target(target);
      return known == null ? 0 : known.inFlight();
    }
  }

  /** Requests in the queue. */
  public int queuedCount() {
    synchronized (lock) {
      return queue.size();
    }
  }

  /** The targets held by this gate that are not draining. */
  public List<Holding> heldTargets() {
    synchronized (lock) {
      return pool.held();
    }
  }

  /** True while this gate holds a target that is not draining, whether it is ejected or not. */
  public boolean holdsTargets() {
    synchronized (lock) {
      return pool.heldTargetCount() > 0;
    }
  }

  /** Slots that may be used now. */
  public int usableSlots() {
    synchronized (lock) {
      return pool.usableSlots(time.nanos());
    }
  }

  /** A consistent snapshot of all counts and rates. */
  public GateStats stats() {
    synchronized (lock) {
      long now = time.nanos();
      return new GateStats(
          pool.usableSlots(now),
          pool.busySlots(),
          queue.size(),
          offeredCount,
          admittedCount,
          refusedCount,
          offeredRate.perSecond(now),
          pool.admittedPerSecond(now),
          pool.ceilingPerSecond(now));
    }
  }

  /** Refuses all queued and all later requests; slots in use stay valid. */
  @Override
  public void close() {
    List<Decision> decisions = new ArrayList<>();
    synchronized (lock) {
      closed = true;
      for (WaitingRequest waiting : queue) {
        queueBudget.release();
        refuse(waiting, ResultCode.STOPPING, "this entry VM is stopping", decisions);
      }
      queue.clear();
    }
    deliver(decisions);
  }

  private static final class WaitingRequest {
    private final AdmissionRequest request;
    private final Consumer<Admission> onDecision;
    private final long waitDeadlineNanos;
    private boolean capped;
    private boolean decided;

    WaitingRequest(
        AdmissionRequest request, Consumer<Admission> onDecision, long waitDeadlineNanos) {
      this.request = request;
      this.onDecision = onDecision;
      this.waitDeadlineNanos = waitDeadlineNanos;
    }
  }

  private record Decision(WaitingRequest waiting, Admission admission) {}

  private final class HeldSlot implements Admission.Slot {
    private final TargetSlots owner;
    private final Holding target;
    private boolean released;

    HeldSlot(TargetSlots owner) {
      this.owner = owner;
      this.target = owner.holding();
    }

    @Override
    public Holding target() {
      return target;
    }

    @Override
    public void release(Admission.Completion completion) {
      synchronized (lock) {
        if (released) {
          return;
        }
        released = true;
      }
      ServiceGate.this.release(owner, completion);
    }
  }
}
