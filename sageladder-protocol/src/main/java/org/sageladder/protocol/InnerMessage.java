package org.sageladder.protocol;

import org.sageladder.core.membership.Heartbeat;
import org.sageladder.core.membership.HeartbeatAnswer;
import org.sageladder.core.spread.SpreadMessage;

/** One message between entry VMs, decoded. */
public sealed interface InnerMessage {
  /** A message between spreaders. */
  record Spread(SpreadMessage message) implements InnerMessage {}

  /** A member's heartbeat to its relay. */
  record HeartbeatMessage(Heartbeat heartbeat) implements InnerMessage {}

  /** An answer to a heartbeat. */
  record HeartbeatAnswerMessage(HeartbeatAnswer answer) implements InnerMessage {}

  /** A payload of another part of sageladder. */
  record Direct(TopicPayload payload) implements InnerMessage {}
}
