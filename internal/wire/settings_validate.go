package wire

import "fmt"

// maxSetting is the largest valid number in settings without a smaller limit of their own. As a time in microseconds it is
// about 31 years.
const maxSetting = 1e15

// RangeError reports that a number in the settings is outside its valid range.
type RangeError struct {
	Key        string // path of the key; for a key of a class, its name with that of the class in front
	Value, Max float64
}

// Error returns the key, its value and its range.
func (e *RangeError) Error() string {
	return fmt.Sprintf("%s is %v, want 0 to %v", e.Key, e.Value, e.Max)
}

// ClassNameError reports that a class has an empty name or the name of another class.
type ClassNameError struct{ Name string }

// Error returns the name of the class.
func (e *ClassNameError) Error() string {
	return fmt.Sprintf("class %q: name is empty or not unique", e.Name)
}

// boundedSetting is a number in the settings whose valid range is 0 to max.
type boundedSetting struct {
	key   string
	value float64
	max   float64
}

// isInRange reports whether the value is in its range. It returns false for NaN.
func (s boundedSetting) isInRange() bool { return s.value >= 0 && s.value <= s.max }

// validate returns an error for the first invalid value, so that invalid settings end the start and have no later effects.
func (o *settingsObject) validate() error {
	if err := o.validateClassNames(); err != nil {
		return err
	}
	for _, setting := range o.boundedSettings() {
		if !setting.isInRange() {
			return &RangeError{setting.key, setting.value, setting.max}
		}
	}
	return nil
}

func (o *settingsObject) validateClassNames() error {
	seen := map[string]bool{}
	for _, class := range o.Classes {
		if class.Name == "" || seen[class.Name] {
			return &ClassNameError{class.Name}
		}
		seen[class.Name] = true
	}
	return nil
}

func (o *settingsObject) boundedSettings() []boundedSetting {
	settings := []boundedSetting{
		{"familyInfo.counterTimeoutUs", o.FamilyInfo.CounterTimeoutUs, maxSetting},
		{"familyInfo.maxUnits", o.FamilyInfo.MaxUnits, maxSetting},
		{"permissions.connIdleUs", o.Permissions.ConnIdleUs, maxSetting},
		{"permissions.connectTimeoutUs", o.Permissions.ConnectTimeoutUs, maxSetting},
		{"permissions.maxRetryAfterUs", o.Permissions.MaxRetryAfterUs, maxSetting},
		{"permissions.maxAttempts", float64(o.Permissions.MaxAttempts), maxSetting},
		{"permissions.maxOpen", float64(o.Permissions.MaxOpen), maxSetting},
		{"invariants.coldFrom", o.Invariants.ColdFrom, 1},
		{"invariants.warmAfterUs", o.Invariants.WarmAfterUs, maxSetting},
		{"invariants.fallUs", o.Invariants.FallUs, maxSetting},
		{"invariants.fallMultiple", o.Invariants.FallMultiple, maxSetting},
		{"invariants.drainGraceUs", o.Invariants.DrainGraceUs, maxSetting},
	}
	for _, class := range o.Classes {
		settings = append(settings,
			boundedSetting{class.Name + ".value", class.Value, maxSetting},
			boundedSetting{class.Name + ".lateShare", class.LateShare, 1},
			boundedSetting{class.Name + ".objectiveUs", class.ObjectiveUs, maxSetting},
			boundedSetting{class.Name + ".deadlineUs", class.DeadlineUs, maxSetting},
			boundedSetting{class.Name + ".windowUs", class.WindowUs, maxSetting},
		)
	}
	return settings
}
