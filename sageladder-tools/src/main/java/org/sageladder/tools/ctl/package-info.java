/** {@code sageladderctl}: operators check, apply and look at contracts and entry VMs. */
@NullMarked
package org.sageladder.tools.ctl;

import org.jspecify.annotations.NullMarked;
