// Package portable computes exponential functions that have the same result, bit for bit, on every
// architecture, so that equal events lead to equal decisions there. The functions of package math do not:
// some are written in assembly, with roundings of their own, and the compiler may fuse a multiplication
// with an addition. Here each rounding is explicit: math.FMA rounds once, and a conversion to float64 keeps
// the compiler from fusing.
package portable

import "math"

const (
	// ln2High is ln 2 rounded to 42 bits, so that its products with binary exponents are exact, and ln2Low
	// is the rest.
	ln2High = 0.69314718055966295651160180568695068359375
	ln2Low  = 0.28235290563031577122588448175013436025525412068e-12
	// ln2Nearest is the float64 nearest to ln 2, and ln2Error is the rest.
	ln2Nearest = 0x1.62e42fefa39efp-1
	ln2Error   = math.Ln2 - ln2Nearest

	// maxExponent and minExponent are the binary exponents of the largest and the smallest normal float64.
	maxExponent, minExponent = 1023, -1022
	// exponentBias and mantissaBits describe the format of a float64.
	exponentBias, mantissaBits = 1023, 52

	// maxExpArgument is the largest x for which e**x is finite; below minExpArgument it is rounded to 0.
	maxExpArgument, minExpArgument = 7.09782712893384e+02, -746
	// maxExp2Argument is the least x for which 2**x is infinite; below minExp2Argument it is rounded to 0.
	maxExp2Argument, minExp2Argument = 1024, -1076

	// firstLogDivisor and lastLogDivisor are the divisors 3, 5, ... of the terms that log adds up; the next
	// term is below 2**-58 of the first.
	firstLogDivisor, lastLogDivisor = 3, 21
)

// Exp returns e**x: +Inf on overflow, 0 on underflow, NaN for NaN. Its error can be more than one unit in
// the last place. It computes e**(x/16) - 1 by a short Taylor series and then doubles the argument four
// times: if y = e**z - 1, then e**2z - 1 = y(y+2).
func Exp(x float64) float64 {
	switch {
	case math.IsNaN(x):
		return x
	case x > maxExpArgument:
		return math.Inf(1)
	case x < minExpArgument:
		return 0
	}
	rest, _, exponent := reduce(x)
	rest = float64(rest * (1.0 / 16))
	series := math.FMA(1.0/40320, rest, 1.0/5040)
	series = math.FMA(series, rest, 1.0/720)
	series = math.FMA(series, rest, 1.0/120)
	series = math.FMA(series, rest, 1.0/24)
	series = math.FMA(series, rest, 1.0/6)
	series = math.FMA(series, rest, 1.0/2)
	series = math.FMA(series, rest, 1)
	y := float64(rest * series)
	y = float64(y * (y + 2))
	y = float64(y * (y + 2))
	y = float64(y * (y + 2))
	return scale(math.FMA(y, y+2, 1), exponent)
}

// Exp2 returns 2**x: +Inf on overflow, 0 on underflow, NaN for NaN. It is exact for integers.
func Exp2(x float64) float64 {
	switch {
	case math.IsNaN(x):
		return x
	case x >= maxExp2Argument:
		return math.Inf(1)
	case x < minExp2Argument:
		return 0
	}
	exponent := math.RoundToEven(x)
	fraction := x - exponent
	argument, tail := productWithTail(fraction, ln2Nearest, ln2Error)
	return scale(expNearZero(argument, tail), int(exponent))
}

// Pow returns x**y for a positive and finite x, and NaN for any other x. It returns +Inf on overflow, 0 on
// underflow, and NaN if y is NaN.
func Pow(x, y float64) float64 {
	switch {
	case !(x > 0) || math.IsInf(x, 1) || math.IsNaN(y):
		return math.NaN()
	case y == 0 || x == 1:
		return 1
	}
	logarithm, logarithmTail := log(x)
	argument, tail := productWithTail(y, logarithm, logarithmTail)
	switch {
	case argument > maxExpArgument:
		return math.Inf(1)
	case argument < minExpArgument:
		return 0
	}
	rest, restTail, exponent := reduce(argument)
	rest, tail = addSmall(rest, restTail+tail)
	return scale(expNearZero(rest, tail), exponent)
}

// productWithTail returns factor * (value + tail), where tail is small beside value, as the sum of a
// rounded product and its rounding error.
func productWithTail(factor, value, tail float64) (product, productTail float64) {
	product = float64(factor * value)
	return product, math.FMA(factor, tail, math.FMA(factor, value, -product))
}

// reduce returns x = rest + tail + exponent*ln(2), with |rest| <= ln(2)/2 and a tail that is small beside
// it, for a finite e**x.
func reduce(x float64) (rest, tail float64, exponent int) {
	nearest := math.RoundToEven(float64(x * math.Log2E))
	exact := math.FMA(-nearest, ln2High, x)
	rest = math.FMA(-nearest, ln2Low, exact)
	return rest, math.FMA(-nearest, ln2Low, exact-rest), int(nearest)
}

// expNearZero returns e**(x+tail) by its Taylor series, for |x| <= ln(2)/2 and a tail that is small beside
// x.
func expNearZero(x, tail float64) float64 {
	series := math.FMA(1.0/6227020800, x, 1.0/479001600)
	series = math.FMA(series, x, 1.0/39916800)
	series = math.FMA(series, x, 1.0/3628800)
	series = math.FMA(series, x, 1.0/362880)
	series = math.FMA(series, x, 1.0/40320)
	series = math.FMA(series, x, 1.0/5040)
	series = math.FMA(series, x, 1.0/720)
	series = math.FMA(series, x, 1.0/120)
	series = math.FMA(series, x, 1.0/24)
	series = math.FMA(series, x, 1.0/6)
	series = math.FMA(series, x, 1.0/2)
	higherTerms := math.FMA(float64(x*x), series, tail)
	return 1 + (x + higherTerms)
}

// scale returns x * 2**exponent, rounded once.
func scale(x float64, exponent int) float64 {
	if exponent < minExponent || exponent > maxExponent {
		return math.Ldexp(x, exponent)
	}
	return float64(x * math.Float64frombits(uint64(exponent+exponentBias)<<mantissaBits))
}

// log returns ln x, for a positive and finite x, as the sum of a float64 and a small tail. With
// x = m * 2**k and s = (m-1)/(m+1), ln x = k ln 2 + 2(s + s**3/3 + s**5/5 + ...).
func log(x float64) (value, tail float64) {
	mantissa, exponent := math.Frexp(x)
	if mantissa < math.Sqrt2/2 {
		mantissa, exponent = 2*mantissa, exponent-1
	}
	numerator := mantissa - 1 // exact
	denominator := mantissa + 1
	denominatorTail := mantissa - (denominator - 1)
	s := numerator / denominator
	remainder := math.FMA(-s, denominatorTail, math.FMA(-s, denominator, numerator))
	square := float64(s * s)
	series := 0.0
	for divisor := lastLogDivisor; divisor >= firstLogDivisor; divisor -= 2 {
		series = math.FMA(series, square, 1/float64(divisor))
	}
	higherTerms := 2 * math.FMA(float64(s*square), series, remainder/denominator)
	value, tail = addSmall(2*s, higherTerms)
	value, roundingError := addSmall(float64(float64(exponent)*ln2High), value)
	return addSmall(value, roundingError+math.FMA(float64(exponent), ln2Low, tail))
}

// addSmall returns the sum of two numbers and its rounding error. Either |large| >= |small|, or large is 0.
func addSmall(large, small float64) (sum, roundingError float64) {
	sum = large + small
	return sum, small - (sum - large)
}
