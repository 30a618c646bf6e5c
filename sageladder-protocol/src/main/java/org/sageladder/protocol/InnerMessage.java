package org.sageladder.protocol;

import org.sageladder.core.membership.Heartbeat;
import org.sageladder.core.membership.HeartbeatAnswer;
import org.sageladder.core.spread.SpreadMessage;

/** A decoded message between entry VMs. */
public sealed interface InnerMessage {
  /** A message between spreaders. */
  record Spread(SpreadMessage message) implements InnerMessage {}

  /** A member's heartbeat to its relay. */
  record HeartbeatMessage(Heartbeat heartbeat) implements InnerMessage {}

  /** An answer to a heartbeat. */
  record HeartbeatAnswerMessage(HeartbeatAnswer answer) implements InnerMessage {}

  /** A payload that another component of sageladder sends to one entry VM. */
  record Direct(TopicPayload payload) implements InnerMessage {}
}
