package org.sageladder.entry.control;

import org.sageladder.core.membership.Member;

/** Who this process is: its customer and how its zone's view names it. */
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
