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
  void addPeerAddress(PeerAddress peer);

  /** Makes a store call of the relay's duty; its end is reported to the machine. */
  void startElectionCall(ElectionCall call);

  /** Asks a target of a silent zone whether it works for anybody; answers come to the machine. */
  void probeTarget(Holding target, Consumer<Boolean> onAnswer);

  /** Starts or stops watching the contract and fetching the list, which only a relay does. */
  void setRelay(boolean isRelay);

  /** Ends a lease that is no longer wanted. */
  void revokeLease(long lease);

  /** Something that the request path reads has changed. */
  void onStateChanged();

  /** A payload arrived; {@code from} is empty for an announcement. */
  void deliverPayload(String from, String topic, byte[] content);
}
