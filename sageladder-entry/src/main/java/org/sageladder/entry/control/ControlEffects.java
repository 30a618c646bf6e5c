package org.sageladder.entry.control;

import java.util.function.Consumer;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.spread.ElectionCall;
import org.sageladder.protocol.InnerMessage;
import org.sageladder.protocol.PeerAddress;

/** The side effects of a {@link ControlStateMachine}; no method blocks. */
interface ControlEffects {
  /** Sends a message to a peer; returns false if it was certainly not sent. */
  boolean send(String vm, InnerMessage message);

  /** Adds or updates the address of a peer. */
  void addPeerAddress(PeerAddress peer);

  /** Starts a store call of the relay election; its result is reported to the election. */
  void startElectionCall(ElectionCall call);

  /** Asks a target of a silent zone whether it is idle; passes its answer on the control thread. */
  void probeTarget(Holding holding, Consumer<Boolean> onAnswer);

  /**
   * Starts or stops watching the contract and fetching the platform's list, as only a relay does.
   */
  void setRelay(boolean isRelay);

  /** Revokes a lease that is no longer needed. */
  void revokeLease(long lease);

  /** Called when state that the request path reads has changed. */
  void onStateChanged();

  /** Delivers a received payload; {@code from} is empty for a broadcast. */
  void deliverPayload(String from, String topic, byte[] content);
}
