package org.sageladder.standin.target;

/**
 * How a target stand-in is built; what goes wrong later is said with {@link TargetFaults}.
 *
 * <pre>{@code
 * TargetOptions options = TargetOptions.create("t-1").slots(3).serviceTime(ServiceTime.fixed(20));
 * }</pre>
 *
 * @param id name sent with each answer
 * @param host IP number to listen on
 * @param port TCP port, 0 for any free one
 * @param slots requests that run at the same time
 * @param queue requests that may wait for a slot; more are shed
 * @param serviceTime time a request holds its slot
 * @param seed seed of all draws
 * @param answerBytes size of an answer's body where the request names none
 * @param startMillis how long after a start every request is refused as {@code starting}
 * @param coldMillis how long after that the target is slower, falling evenly to its usual speed
 * @param coldFactor service time at the start of the cold phase over the usual one, at least 1
 * @param crashMillis how long a crash keeps the port closed; negative: a crash ends the process
 * @param incarnation number of the first start; each restart adds one
 */
public record TargetOptions(
    String id,
    String host,
    int port,
    int slots,
    int queue,
    ServiceTime serviceTime,
    long seed,
    long answerBytes,
    long startMillis,
    long coldMillis,
    double coldFactor,
    long crashMillis,
    long incarnation) {

  /** Rejects values out of range. */
  public TargetOptions {
    if (slots < 1 || queue < 0 || answerBytes < 0 || startMillis < 0 || coldMillis < 0) {
      throw new IllegalArgumentException(
          "target " + id + ": expected at least 1 slot and no negative queue, size or time");
    }
    if (!(coldFactor >= 1)) {
      throw new IllegalArgumentException(
          "target " + id + ": coldFactor " + coldFactor + ": expected at least 1");
    }
  }

  /** Three slots, a queue of three, 20 ms fixed, 1 KiB answers, any free port on loopback. */
  public static TargetOptions create(String id) {
    return new TargetOptions(
        id, "127.0.0.1", 0, 3, 3, ServiceTime.fixed(20), 1, 1024, 0, 0, 1, 500, 1);
  }

  /** The same options listening elsewhere. */
  public TargetOptions address(String newHost, int newPort) {
    return new TargetOptions(
        id,
        newHost,
        newPort,
        slots,
        queue,
        serviceTime,
        seed,
        answerBytes,
        startMillis,
        coldMillis,
        coldFactor,
        crashMillis,
        incarnation);
  }

  /** The same options with so many slots. */
  public TargetOptions slots(int newSlots) {
    return new TargetOptions(
        id,
        host,
        port,
        newSlots,
        queue,
        serviceTime,
        seed,
        answerBytes,
        startMillis,
        coldMillis,
        coldFactor,
        crashMillis,
        incarnation);
  }

  /** The same options with a queue of that length. */
  public TargetOptions queue(int newQueue) {
    return new TargetOptions(
        id,
        host,
        port,
        slots,
        newQueue,
        serviceTime,
        seed,
        answerBytes,
        startMillis,
        coldMillis,
        coldFactor,
        crashMillis,
        incarnation);
  }

  /** The same options with another service time. */
  public TargetOptions serviceTime(ServiceTime newServiceTime) {
    return new TargetOptions(
        id,
        host,
        port,
        slots,
        queue,
        newServiceTime,
        seed,
        answerBytes,
        startMillis,
        coldMillis,
        coldFactor,
        crashMillis,
        incarnation);
  }

  /** The same options with another seed. */
  public TargetOptions seed(long newSeed) {
    return new TargetOptions(
        id,
        host,
        port,
        slots,
        queue,
        serviceTime,
        newSeed,
        answerBytes,
        startMillis,
        coldMillis,
        coldFactor,
        crashMillis,
        incarnation);
  }

  /** The same options with answers of that size. */
  public TargetOptions answerBytes(long newAnswerBytes) {
    return new TargetOptions(
        id,
        host,
        port,
        slots,
        queue,
        serviceTime,
        seed,
        newAnswerBytes,
        startMillis,
        coldMillis,
        coldFactor,
        crashMillis,
        incarnation);
  }

  /** The same options with a start that refuses first and is slow next. */
  public TargetOptions coldStart(long newStartMillis, long newColdMillis, double newColdFactor) {
    return new TargetOptions(
        id,
        host,
        port,
        slots,
        queue,
        serviceTime,
        seed,
        answerBytes,
        newStartMillis,
        newColdMillis,
        newColdFactor,
        crashMillis,
        incarnation);
  }

  /** The same options with that pause after a crash; negative: a crash ends the process. */
  public TargetOptions crashMillis(long newCrashMillis) {
    return new TargetOptions(
        id,
        host,
        port,
        slots,
        queue,
        serviceTime,
        seed,
        answerBytes,
        startMillis,
        coldMillis,
        coldFactor,
        newCrashMillis,
        incarnation);
  }

  /** The same options with that first incarnation. */
  public TargetOptions incarnation(long newIncarnation) {
    return new TargetOptions(
        id,
        host,
        port,
        slots,
        queue,
        serviceTime,
        seed,
        answerBytes,
        startMillis,
        coldMillis,
        coldFactor,
        crashMillis,
        newIncarnation);
  }
}
