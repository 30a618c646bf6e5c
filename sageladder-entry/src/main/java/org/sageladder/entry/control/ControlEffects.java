package org.sageladder.entry.control;

import java.util.function.Consumer;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.spread.ElectionCall;
import org.sageladder.protocol.InnerMessage;
import org.sageladder.protocol.PeerAddress;

/** What the control machine wants done outside of it; no method blocks. */
interface ControlEffects {
  /** Sends to a peer; false where it was surely not sent. */
  boolean send(String vm, InnerMessage message);

  /** Makes a peer's address known. */
  void address(PeerAddress peer);

  /** Makes a store call of the relay's duty; its end is reported to the machine. */
  void call(ElectionCall call);

  /** Asks a target of a silent zone whether it works for anybody; answers come to the machine. */
  void probe(Holding target, Consumer<Boolean> answer);

  /** Starts or stops watching the contract and fetching the list, which only a relay does. */
  void relaying(boolean now);

  /** Ends a lease that is no longer wanted. */
  void revoke(long lease);

  /** Something that the request path reads has changed. */
  void stateChanged();

  /** A payload arrived; {@code from} is empty for an announcement. */
  void payload(String from, String topic, byte[] content);
}
