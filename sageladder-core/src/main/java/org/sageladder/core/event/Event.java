package org.sageladder.core.event;

/**
 * One event in one process.
 *
 * @param sequence position in the order of this process, contiguous unless events were lost
 * @param wallMicros wall-clock time of the process, microseconds since the Unix epoch
 * @param request id of the request concerned, or empty
 * @param contract customer of the contract concerned, or empty
 * @param subject target, peer, zone or key concerned, or empty
 * @param revision revision, view number or permit sequence concerned, or 0
 * @param detail short human-readable text: the reason and the inputs of the decision
 */
public record Event(
    long sequence,
    long wallMicros,
    EventKind kind,
    String request,
    String contract,
    String subject,
    long revision,
    String detail) {}
