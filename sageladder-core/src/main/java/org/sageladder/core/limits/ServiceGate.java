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
 * The gate of one service in one entry VM: counts the slots of the targets that this VM holds and
 * lets requests wait, bounded by number and time, where no slot is free.
 *
 * <pre>{@code
 * ServiceGate gate = ServiceGate.create(customer, service, time, Scheduler.of(executor), events);
 * gate.holdings(view.holdings().stream().filter(h -> h.holder().equals(self)).toList());
 * gate.request(new AdmissionRequest("r-17", deadlineNanos, "", ""), admission -> send(admission));
 * }</pre>
 *
 * <p>One lock guards everything; nothing is called while it is held, so it comes last in any lock
 * order but for the retry budget's, which is taken inside it. All methods may be called from any
 * thread.
 */
public final class ServiceGate implements Gate, AutoCloseable {
  /**
   * What a refused request counts as demand: an answer names four places, so its caller is refused
   * four times before it is lost, and is then counted once over all.
   */
  private static final double REFUSED_DEMAND_WEIGHT = 1.0 / 4;

  private static final String TAKEN_OVER_DETAIL =
      "another entry VM held the targets a moment ago, and may have used their gain";

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
   * Work that must not repeat is sent on only where a target refused it before running; such
   * retries are bounded by a tenth, whatever the contract says of repeats.
   */
  private static double retryFraction(Contract.Service service) {
    return service.repeatable() ? service.retryFraction() : NON_REPEATABLE_RETRY_FRACTION;
  }

  @Override
  public boolean tryAcquireRetry() {
    return retryBudget.tryAcquireRetry();
  }

  /** First tries, retries and denied retries of this service here. */
  public RetryBudget.Counts retryCounts() {
    return retryBudget.counts();
  }

  /** A gate that holds no targets yet and so refuses all work. */
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
   * As above, for a gate in an entry VM.
   *
   * @param budget bounds the requests that wait at all gates of the entry VM together
   * @param guard says which part of its holdings this entry VM may use now
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
   * Replaces the targets that this VM holds; none counts as taken over from another entry VM.
   *
   * <p>Targets no longer named get no new work; slots in use stay valid until released.
   */
  public void updateHoldings(List<Holding> holdings) {
    updateHoldings(holdings, Set.of());
  }

  /**
   * Replaces the targets that this VM holds.
   *
   * @param takenOver names of those that another entry VM, or an earlier incarnation of this one,
   *     held until now; they get work one window later, or once {@link #importHistory} tells of
   *     them
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
   * What this gate counted of a target that {@link #updateHoldings} took from it, to be sent to the
   * entry VM that holds it now; empty where there is nothing to tell or it has been told.
   */
  public Optional<TargetHistory> exportHistory(String target) {
    synchronized (lock) {
      return Optional.ofNullable(pool.exportHistory(target, time.nanos(), time.wallMillis()));
    }
  }

  /**
   * Takes what the entry VM that held a target before counted of it; repeats have no effect.
   *
   * @return true where the target is held here and waited for it
   */
  public boolean importHistory(TargetHistory history) {
    List<Decision> decisions = new ArrayList<>();
    boolean taken;
    synchronized (lock) {
      taken = pool.importHistory(history, time.nanos(), time.wallMillis());
      processQueue(decisions);
    }
    deliver(decisions);
    return taken;
  }

  /** Puts the limits of a new revision in force; waiting requests keep their places. */
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
   * Takes a target's own, possibly late or wrong, report.
   *
   * @param nowNanos monotonic time at which the report was taken
   */
  public void onLoadReport(
      String target, int reportedBusy, int reportedSlots, boolean draining, long nowNanos) {
    synchronized (lock) {
      TargetSlots known = pool.target(target);
      if (known == null) {
        return;
      }
      known.onLoadReport(reportedBusy, reportedSlots, nowNanos);
      if (draining) {
        known.markDraining();
      }
    }
  }

  @Override
  public Cancellable request(AdmissionRequest request, Consumer<Admission> whenDecided) {
    List<Decision> decisions = new ArrayList<>(1);
    WaitingRequest waiting = new WaitingRequest(request, whenDecided, waitDeadlineNanos(request));
    synchronized (lock) {
      offeredCount++;
      admitOrEnqueue(waiting, decisions);
    }
    deliver(decisions);
    return () -> cancel(waiting);
  }

  private long waitDeadlineNanos(AdmissionRequest request) {
    long longest = time.nanos() + service().queueWait().toNanos();
    return longest - request.deadlineNanos() < 0 ? longest : request.deadlineNanos();
  }

  private void admitOrEnqueue(WaitingRequest waiting, List<Decision> decisions) {
    if (closed) {
      refuse(waiting, ResultCode.STOPPING, "this entry VM is stopping", decisions);
      return;
    }
    if (hasNoTargetFor(waiting)) {
      refuse(waiting, ResultCode.NO_TARGET, "no target held here may take it", decisions);
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
      String detail = queue.size() + " requests wait already";
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
          queueBudget.waitingCount() + " requests wait on this entry VM",
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
   * When one more request would find a slot: after those that wait, and not before a cap, a pause
   * or the wait for a taken-over target ends.
   */
  private Duration timeUntilSlot(boolean capped) {
    long now = time.nanos();
    double perSecond = pool.ceilingPerSecond(now);
    long wait = perSecond > 0 ? (long) (NANOS_PER_SECOND * (queue.size() + 1) / perSecond) : 0;
    if (capped) {
      wait = Math.max(wait, pool.nextAdmissionNanos(now) - now);
    } else if (pool.usableSlots(now) == 0) {
      wait = Math.max(wait, pool.nextChangeNanos(now) - now);
    }
    return Duration.ofNanos(Math.max(MIN_RETRY_AFTER_NANOS, wait));
  }

  /**
   * Ends waits that are over and hands free slots to the others, oldest first.
   *
   * <p>Once no target takes a request that may go to any, none takes those behind it: each slot
   * that comes free would otherwise cost a look at all targets for each request that waits.
   */
  private void processQueue(List<Decision> decisions) {
    long now = time.nanos();
    TargetPool.Choice none = null;
    Iterator<WaitingRequest> oldestFirst = queue.iterator();
    while (oldestFirst.hasNext()) {
      WaitingRequest waiting = oldestFirst.next();
      if (waiting.waitDeadlineNanos - now <= 0) {
        removeFromQueue(oldestFirst);
        ResultCode code = waiting.capped ? ResultCode.SHIFT_CAP : ResultCode.QUEUE_DEADLINE;
        refuse(waiting, code, "no slot came free in time", decisions);
        continue;
      }
      if (hasNoTargetFor(waiting)) {
        removeFromQueue(oldestFirst);
        refuse(waiting, ResultCode.NO_TARGET, "no target held here may take it", decisions);
        continue;
      }
      String avoid = waiting.request.excludedTarget();
      TargetPool.Choice choice = none == null ? pool.selectTarget(avoid, now) : none;
      waiting.capped = choice.isCapped();
      if (choice.target() != null) {
        removeFromQueue(oldestFirst);
        admit(waiting, choice.target(), decisions);
      } else if (avoid.isEmpty()) {
        none = choice;
      }
    }
    scheduleQueueCheck();
  }

  private void removeFromQueue(Iterator<WaitingRequest> position) {
    position.remove();
    queueBudget.release();
  }

  /** Sees to it that waits end in time and that a cap or pause that gives way is noticed. */
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
      decision.waiting.onDecision.accept(decision.admission);
    }
  }

  private void recordEvent(Decision decision) {
    String request = decision.waiting.request.requestId();
    if (decision.admission instanceof Admission.Admitted yes) {
      events.record(EventKind.ADMITTED, request, customer, yes.slot().target().target(), 0, "");
    } else if (decision.admission instanceof Admission.Refused no) {
      String reason = no.result().code() + ": " + no.result().detail();
      events.record(EventKind.REFUSED, request, customer, service().name(), 0, reason);
    }
  }

  /** Limits in force. */
  public Contract.Service service() {
    synchronized (lock) {
      return pool.service();
    }
  }

  /** Slots in use, those of targets no longer held included. */
  public int busySlots() {
    synchronized (lock) {
      return pool.busySlots();
    }
  }

  /** Requests in flight on {@code target} through this gate. */
  public int inFlight(String target) {
    synchronized (lock) {
      TargetSlots known = pool.target(target);
      return known == null ? 0 : known.inFlight();
    }
  }

  /** Requests waiting. */
  public int queuedCount() {
    synchronized (lock) {
      return queue.size();
    }
  }

  /** The targets held here that are not leaving. */
  public List<Holding> heldTargets() {
    synchronized (lock) {
      return pool.held();
    }
  }

  /** True while this gate holds a target that is not leaving, paused or not. */
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

  /** All numbers of one moment. */
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

  /** Refuses all that wait and all that still come; slots in use stay valid. */
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

    WaitingRequest(AdmissionRequest request, Consumer<Admission> whenDecided, long giveUpAt) {
      this.request = request;
      this.onDecision = whenDecided;
      this.waitDeadlineNanos = giveUpAt;
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
