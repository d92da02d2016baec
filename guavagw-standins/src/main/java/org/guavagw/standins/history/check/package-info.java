/** Checkers of histories, one class for each invariant; naive on purpose. */
package org.guavagw.standins.history.check;
