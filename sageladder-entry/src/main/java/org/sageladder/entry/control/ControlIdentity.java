package org.sageladder.entry.control;

import org.sageladder.core.membership.Member;

/** Identity of this entry VM: its customer and its entry in the view of its zone. */
record ControlIdentity(String customer, Member self) {
  String vm() {
    return self.vm();
  }

  String zone() {
    return self.zone();
  }

  Member toMember(int callersPort, boolean isDraining) {
    return new Member(
        self.vm(),
        self.zone(),
        self.incarnation(),
        self.host(),
        callersPort,
        self.innerPort(),
        isDraining);
  }
}
