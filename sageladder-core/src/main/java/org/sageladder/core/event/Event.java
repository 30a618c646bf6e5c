package org.sageladder.core.event;

/**
 * One thing that happened in one process.
 *
 * @param sequence position in this process's own order, without gaps unless events were lost
 * @param wallMicros wall clock of the process, microseconds since the Unix epoch
 * @param request id of the request concerned, or empty
 * @param contract customer of the contract concerned, or empty
 * @param subject target, peer, zone or key concerned, or empty
 * @param revision revision, view number or permit sequence concerned, or 0
 * @param detail short text for people: the reason and the inputs that decided
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
