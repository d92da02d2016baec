/** Checkers of histories, one class per invariant. They are simple rather than efficient. */
package org.guavagw.standins.history.check;
