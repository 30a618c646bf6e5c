/**
 * {@code sageladderctl}: the command-line tool with which operators check and apply contracts and
 * inspect entry VMs.
 */
@NullMarked
package org.sageladder.tools.ctl;

import org.jspecify.annotations.NullMarked;
